"""A small deployment: a store, instances, the links between VMs, and a node beside each instance as a real process."""

import asyncio
import json
import os
import signal
import socket
import subprocess

import wire
from instance import Instance
from link import Link
from store import Store

APP_PORT, PEERS_PORT, CALLERS_PORT, READY_PORT, STORE_PORT = 8301, 8300, 8304, 8302, 8309
HOST = "shop.example"
NODES_PER_ZONE = 2  # Fewer than the nodes need to share what they read from the store.
SLOTS = 40
FIRST_NETWORK, NETWORKS = 20, 200  # Of the second numbers in 127.0.0.0/8.
READY_TIMEOUT_S = 15
RESTART_PAUSE_S = 0.3
GRACE_S = 6
BOUNDS = {"apply_s": 2, "drain_s": 2, "grace_s": GRACE_S, "ratio": 0.2, "window_s": 10, "extra": 48}


class CannotRun(Exception):
    """The run could not be played, so it says nothing about the rules."""


class Node:
    """One node process."""

    def __init__(self, fleet, instance, number):
        self.fleet = fleet
        self.instance = instance
        self.number = number
        self.name = f"side-{instance.zone}-{number}"
        self.ip = instance.address[0]
        self.outbound = (self.ip, CALLERS_PORT)
        self.process = None
        self.end_cause = None  # Why the process is about to end; None if it should not.

    def write_settings(self):
        store_ip = self.fleet.get_store_ip(self.number)
        settings = {
            "node": self.name, "service": self.instance.service, "zone": self.instance.zone,
            "zones": [f"{zone}={region}" for zone, region in self.fleet.zones.items()],
            "target": {"address": f"{self.ip}:{APP_PORT}"},
            "listen": {"callers": f"{self.ip}:{CALLERS_PORT}", "peers": f"{self.ip}:{PEERS_PORT}",
                       "ready": f"{self.ip}:{READY_PORT}"},
            "platform": {"address": f"{store_ip}:{STORE_PORT}", "apply_s": BOUNDS["apply_s"]},
            "limits": self.fleet.limits, "stop": {"grace_s": BOUNDS["grace_s"]},
            "repeats": {key: BOUNDS[key] for key in ("ratio", "window_s", "extra")}}
        if self.fleet.has_drain_setting:
            settings["platform"]["drain_s"] = BOUNDS["drain_s"]
        path = os.path.join(self.fleet.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        return path

    def start(self):
        path = self.write_settings()
        self.end_cause = None
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.fleet.folder, "FUCHSIAGAUGE_SETTINGS": path}
        with open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab") as log:
            self.process = subprocess.Popen([self.fleet.program, "mesh"], cwd=self.fleet.folder, env=environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT)
        self.fleet.record.write("started", node=self.name, pid=self.process.pid)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        if not self.is_running():
            return
        name = signal.Signals(number).name
        self.fleet.record.write("signal", node=self.name, signal=name)
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.end_cause = name
        self.process.send_signal(number)

    async def supervise(self):
        """Starts the process again after each end, as the platform does."""
        while not self.fleet.is_closing:
            if not self.is_running():
                self.fleet.record.write("ended", node=self.name, cause=self.end_cause, status=self.process.returncode)
                await asyncio.sleep(RESTART_PAUSE_S)
                self.start()
            await asyncio.sleep(0.05)

    async def stop(self):
        """Stops the process as the platform does: SIGTERM, and SIGKILL at the end of the grace time."""
        process = self.process
        self.send_signal(signal.SIGTERM)
        end = self.fleet.record.now() + BOUNDS["grace_s"]
        while process.poll() is None and self.fleet.record.now() < end:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            self.fleet.record.write("killed-at-grace-end", node=self.name)
            process.kill()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, READY_PORT), 1)
            writer.write(wire.format_head("GET /ready HTTP/1.1", [("Host", "ready")]))
            head = await asyncio.wait_for(wire.read_head(reader), 1)
            writer.close()
            return head is not None and head.get_status() == 200
        except (OSError, ValueError, asyncio.TimeoutError):
            return False


class Fleet:
    """Two nodes a zone, so that each reads the store by itself and sees the other VMs through links of its own.

    Addresses: 127.N.1.X for the VM with number X - 10, 127.N.2.X for its view of the store, and 127.N.(100 + S).X for
    its peers' listener as VM S reaches it.
    """

    limits = {"memory_mb": 260}  # Of each node's settings.

    def __init__(self, record, folder, checkout, program, seed, services=("orders", "browse"), zones=4):
        self.record = record
        self.folder = folder
        self.program = program
        with open(os.path.join(checkout, "deploy", "settings.template"), encoding="utf-8") as template:
            self.has_drain_setting = "drain_s" in template.read()
        self.zones = {f"zone-{number}": ("west", "east")[number % 2] for number in range(zones)}
        self.network = self.find_network()
        self.store = Store(record)
        self.is_closing = False
        self.tasks = []
        self.instances = []
        self.nodes = []
        for number, zone in enumerate([zone for zone in self.zones for _ in range(NODES_PER_ZONE)]):
            service = services[number % len(services)]
            address = (f"{self.network}.1.{10 + number}", APP_PORT)
            instance = Instance(record, f"i-{number:02d}", service, address, zone, SLOTS, f"{seed}/{number}")
            instance.outbound = (address[0], CALLERS_PORT)
            self.instances.append(instance)
            self.nodes.append(Node(self, instance, number))
        self.links = {(source.number, target.number): Link(f"{source.name}>{target.name}", (target.ip, PEERS_PORT))
                      for source in self.nodes for target in self.nodes if source is not target}

    def find_network(self):
        """Finds a loopback network that no other run uses, and reserves it while this process lives."""
        start = os.getpid() % NETWORKS
        for offset in range(NETWORKS):
            network = f"127.{FIRST_NETWORK + (start + offset) % NETWORKS}"
            reservation = socket.socket()
            try:
                reservation.bind((f"{network}.1.1", STORE_PORT))
                for port in (APP_PORT, PEERS_PORT, CALLERS_PORT, READY_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.1.10", port))
            except OSError:
                reservation.close()
                continue
            self.reservation = reservation
            return network
        raise CannotRun("no free loopback addresses")

    def get_store_ip(self, number):
        return f"{self.network}.2.{10 + number}"

    def get_link_ip(self, source, target):
        return f"{self.network}.{100 + source}.{10 + target}"

    def make_view(self, number):
        """Returns how the store's documents look to a node: the addresses of other VMs are those of its links."""
        ips = {self.nodes[target].ip: self.get_link_ip(source, target)
               for source, target in self.links if source == number}

        def rewrite(key, document):
            if not key.startswith("servers/") or "address" not in document:
                return document
            host, _, port = document["address"].partition(":")
            return dict(document, address=f"{ips.get(host, host)}:{port}")
        return rewrite

    @staticmethod
    def make_config(version, timeout_s=5):
        def route(prefix, service, kind, priority):
            return {"host": HOST, "prefix": prefix, "routeKind": kind, "timeoutS": timeout_s, "targetLatencyS": 1.5,
                    "priority": priority, "service": service, "maxAttempts": 2}
        return {"version": f"{version:08x}",
                "routes": {"r-orders": route("/orders/", "orders", "non_idempotent", 0),
                           "r-browse": route("/browse/", "browse", "idempotent", 1),
                           "r-alone": route("/alone/", "alone", "non_idempotent", 0)},
                "services": {name: {"healthPath": "/health", "maxConnections": 1018, "protocol": "h1", "tls": False}
                             for name in ("orders", "browse", "alone")},
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}}

    async def start(self):
        for node in self.nodes:
            await self.store.listen(self.get_store_ip(node.number), STORE_PORT, self.make_view(node.number))
        for (source, target), link in self.links.items():
            await link.listen(self.get_link_ip(source, target), PEERS_PORT)
        await self.store.put("op/config", self.make_config(1))
        for instance in self.instances:
            await instance.listen()
            await self.store.put(f"servers/{instance.id}", instance.get_entry())
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await self.wait_ready(node)
            self.tasks.append(asyncio.ensure_future(node.supervise()))
        await asyncio.sleep(1)

    async def wait_ready(self, node):
        end = self.record.now() + READY_TIMEOUT_S
        while not await node.is_ready():
            if self.record.now() > end or not node.is_running():
                raise CannotRun(f"{node.name} does not get ready")
            await asyncio.sleep(0.1)

    def close(self):
        """Ends the processes that this run has started."""
        self.is_closing = True
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            if node.is_running():
                node.process.kill()
                node.process.wait()

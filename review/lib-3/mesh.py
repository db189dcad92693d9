"""A small deployment on loopback: a store, instances and the project's nodes as separate processes.

Address 127.N.1.X is the VM with number X - 10, and 127.N.2.X its view of the store.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

PROGRAM = "target/main/fuchsiagauged"  # As in deploy/system.toml, which adds `mesh`.
REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
APP_PORT, PEERS_PORT, CALLERS_PORT, READY_PORT, STORE_PORT = 8301, 8300, 8304, 8302, 8309
HOST = "shop.example"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
READY_TIMEOUT_S = 15
STREAM_LIMIT = 1 << 20
BOUNDS = {"apply_s": 2, "drain_s": 2, "grace_s": 6, "ratio": 0.2, "window_s": 10, "extra": 50}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """The events of a run, written to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {kind} {text}\n")
        self.file.flush()


class Head:
    """First line and fields of a message."""

    def __init__(self, text):
        lines = text.decode("latin-1").split("\r\n")
        self.first_line = lines[0]
        self.fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if ":" in line]

    def get(self, name, default=None):
        return next((value for key, value in self.fields if key.lower() == name.lower()), default)

    def get_status(self):
        return int(self.first_line.split(" ")[1])


async def read_head(reader):
    """Returns the head of the next message, or None at the end of the connection."""
    try:
        return Head(await reader.readuntil(b"\r\n\r\n"))
    except asyncio.IncompleteReadError as end:
        if end.partial:
            raise ConnectionError("the connection ends within a head") from end
        return None


async def read_body(reader, head):
    return await reader.readexactly(int(head.get("Content-Length", "0")))


def format_message(first_line, fields, body=b"", has_length=True):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields]
    if has_length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's store. `modes` tells how it treats each VM: serve, busy (503) or silent."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 10
        self.modes = {}
        self.changed = asyncio.Condition()

    async def put(self, key, document):
        async with self.changed:
            self.revision += 1
            value = base64.b64encode(json.dumps(document).encode()).decode()
            item = {"key": key, "value": value, "rev": self.revision, "created": self.revision, "lease": 0}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()
        self.record.write("store-accepted", key=key, revision=self.revision)

    async def delete(self, key):
        async with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.events.append({"key": key, "rev": self.revision, "deleted": True})
            self.changed.notify_all()
        self.record.write("store-deleted", key=key, revision=self.revision)

    async def listen(self, ip, name):
        async def serve(reader, writer):
            try:
                await self.serve(reader, writer, name)
            except (OSError, ValueError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()
        await asyncio.start_server(serve, ip, STORE_PORT)

    async def serve(self, reader, writer, name):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            path, _, query = head.first_line.split(" ")[1].partition("?")
            arguments = dict(part.partition("=")[::2] for part in query.split("&") if part)
            arguments = {key: re.sub("%([0-9A-Fa-f]{2})", lambda match: chr(int(match[1], 16)), value)
                         for key, value in arguments.items()}
            await asyncio.sleep(0.004)
            status, body = await self.answer(path, arguments, name)
            if self.modes.get(name) == "silent":
                await asyncio.sleep(3600)
            writer.write(format_message(f"HTTP/1.1 {status}", [("Content-Type", "application/json")],
                                        json.dumps(body).encode()))
            await writer.drain()

    async def answer(self, path, arguments, name):
        if self.modes.get(name) == "busy":
            return "503 Service Unavailable", {}
        prefix = arguments.get("prefix", "")
        if path == "/kv-key":
            item = self.items.get(arguments.get("key", ""))
            if item is None:
                return "404 Not Found", {"storeRevision": self.revision}
            return "200 OK", dict(item, storeRevision=self.revision)
        if path == "/kv-range":
            items = [self.items[key] for key in sorted(self.items)
                     if key.startswith(prefix) and key > arguments.get("after", "")]
            return "200 OK", {"items": items, "hasMore": False, "storeRevision": self.revision}
        if path == "/kv-watch":
            return await self.watch(prefix, arguments, name)
        return "404 Not Found", {}

    async def watch(self, prefix, arguments, name):
        after = int(arguments["after"])
        end = time.monotonic() + min(30000, int(arguments.get("waitMs", "0"))) / 1000
        async with self.changed:
            while True:
                if self.modes.get(name) == "busy":
                    return "503 Service Unavailable", {}
                events = [item for item in self.events if item["rev"] > after and item["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return "200 OK", {"events": events, "storeRevision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def set_mode(self, name, mode):
        async with self.changed:
            self.modes[name] = mode
            self.changed.notify_all()
        self.record.write("store-mode", vm=name, mode=mode)


class Instance:
    """An application instance. `run(instance, head, body)` returns status, extra fields and body of the answer."""

    def __init__(self, record, name, service, ip, zone, run, slots=90):
        self.record, self.id, self.service, self.ip, self.zone = record, name, service, ip, zone
        self.run = run
        self.slots = slots
        self.running = 0
        self.born = int(time.time() * 1000)

    def get_entry(self, state="ready"):
        return {"service": self.service, "address": f"{self.ip}:{APP_PORT}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "coldLeftS": 0, "seq": 4, "born": self.born}

    async def listen(self):
        await asyncio.start_server(self.serve, self.ip, APP_PORT, limit=STREAM_LIMIT)

    def spoil(self, _request_id, text):
        """Returns the bytes that are sent as an answer. A sound instance sends them unchanged."""
        return text

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                request_id = head.get("Request-Id", "")
                if head.get("Expect-Instance", self.id) != self.id:
                    writer.write(format_message("HTTP/1.1 421 Misdirected Request", [
                        ("Request-Id", request_id), ("Instance-Id", self.id), ("Not-Run", "1")]))
                    continue
                self.running += 1
                try:
                    status, fields, answer = await self.run(self, head, body)
                finally:
                    self.running -= 1
                fields = [("Request-Id", request_id), ("Server-Load", f"{self.running},0,{self.slots}"),
                          ("Server-Stamp", f"{self.id}.{request_id}.{status.split(' ')[0]}")] + list(fields)
                writer.write(self.spoil(request_id, format_message(f"HTTP/1.1 {status}", fields, answer)))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Node:
    """One node process beside an instance."""

    def __init__(self, fleet, instance):
        self.fleet, self.instance, self.ip = fleet, instance, instance.ip
        self.name = f"side-{instance.id}"
        self.process = None

    def write_settings(self):
        fleet = self.fleet
        settings = {
            "node": self.name, "service": self.instance.service, "zone": self.instance.zone,
            "zones": [f"{zone}={region}" for zone, region in fleet.zones.items()],
            "target": {"address": f"{self.ip}:{APP_PORT}"},
            "listen": {"callers": f"{self.ip}:{CALLERS_PORT}", "peers": f"{self.ip}:{PEERS_PORT}",
                       "ready": f"{self.ip}:{READY_PORT}", "metrics": f"{self.ip}:9464"},
            "platform": dict({"address": f"{fleet.get_store_ip(self.ip)}:{STORE_PORT}",
                              "apply_s": BOUNDS["apply_s"], "drain_s": BOUNDS["drain_s"]}, **fleet.platform_settings),
            "limits": {"memory_mb": 260}, "stop": {"grace_s": BOUNDS["grace_s"]},
            "repeats": {key: BOUNDS[key] for key in ("ratio", "window_s", "extra")}}
        settings.update(fleet.more_settings)
        path = os.path.join(fleet.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        return path

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.fleet.folder,
                       "FUCHSIAGAUGE_SETTINGS": self.write_settings()}
        with open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab") as log:
            self.process = subprocess.Popen([os.path.join(REPOSITORY, PROGRAM), "mesh"], cwd=REPOSITORY,
                                            env=environment, stdin=subprocess.DEVNULL, stdout=log,
                                            stderr=subprocess.STDOUT)
        self.fleet.record.write("node-started", node=self.name)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        self.fleet.record.write("signal", node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def ask(self, path, port=READY_PORT):
        """Returns the status and body of a GET request to the node's own interface; 0 if it does not answer."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, port), 1)
            writer.write(format_message(f"GET {path} HTTP/1.1", [("Host", "ready")], has_length=False))
            head = await asyncio.wait_for(read_head(reader), 1)
            body = await asyncio.wait_for(read_body(reader, head), 1)
            writer.close()
            return head.get_status(), body.decode()
        except (OSError, AttributeError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0, ""


class Fleet:
    """Store, instances and nodes. `machines` lists (instance id, service, zone, run function) for each VM."""

    def __init__(self, record, folder, machines, platform_settings=None, more_settings=None, slots=90):
        self.record, self.folder = record, folder
        self.platform_settings = platform_settings or {}
        self.more_settings = more_settings or {}
        self.zones = {zone: "west" for _, _, zone, _ in machines}
        self.network = self.find_network()
        self.store = Store(record)
        self.instances = [Instance(record, name, service, f"{self.network}.1.{10 + number}", zone, run, slots)
                          for number, (name, service, zone, run) in enumerate(machines)]
        self.nodes = [Node(self, instance) for instance in self.instances]

    def find_network(self):
        """Finds a loopback network that no other run uses, and reserves it while this process lives."""
        for offset in range(200):
            network = f"127.{20 + (os.getpid() + offset) % 200}"
            reservation = socket.socket()
            try:
                reservation.bind((f"{network}.1.1", STORE_PORT))
            except OSError:
                reservation.close()
                continue
            self.reservation = reservation
            return network
        raise CannotRun("no free loopback addresses")

    @staticmethod
    def get_store_ip(ip):
        return ip.replace(".1.", ".2.", 1)

    async def start(self, config):
        await self.store.put("op/config", config)
        for instance in self.instances:
            await self.store.listen(self.get_store_ip(instance.ip), instance.id)
            await instance.listen()
            await self.store.put(f"servers/{instance.id}", instance.get_entry())
        for node in self.nodes:
            node.start()
        end = self.record.now() + READY_TIMEOUT_S
        for node in self.nodes:
            while (await node.ask("/ready"))[0] != 200:
                if self.record.now() > end or not node.is_running():
                    raise CannotRun(f"{node.name} does not get ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(4.5)  # More than `contactS`, after which calm machines are in touch.

    def close(self):
        for node in self.nodes:
            if node.is_running():
                node.process.kill()
                node.process.wait()


def make_route(prefix, service, kind, **more):
    return dict({"host": HOST, "prefix": prefix, "routeKind": kind, "timeoutS": 5, "targetLatencyS": 1.5,
                 "priority": 0, "service": service, "maxAttempts": 2}, **more)


def make_config(version, routes, **more):
    services = {route["service"] for route in routes.values()}
    return dict({"version": f"{version:08x}", "routes": routes,
                 "services": {name: {"healthPath": "/health", "maxConnections": 640, "protocol": "h1", "tls": False}
                              for name in sorted(services)},
                 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3,
                            "idleTimeoutS": 15}}, **more)


def has_trouble():
    """Returns whether the disruption of the case is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(script, case, limit_s=110):
    """Runs `case(record, folder)`, which returns the text of what broke the rule, or None, and exits."""
    folder = os.path.dirname(os.path.abspath(script))
    record = Record(folder)
    status = CANNOT_RUN
    loop = asyncio.new_event_loop()
    with tempfile.TemporaryDirectory(prefix="case-") as settings_folder:
        try:
            broken = loop.run_until_complete(asyncio.wait_for(case(record, settings_folder), limit_s))
            status = BROKEN if broken else HELD
            text = broken or "the rule held"
        except Exception as reason:  # pylint: disable=broad-except
            text = f"the case could not run: {type(reason).__name__} {reason}"
    record.write("result", status=status, text=text)
    print(text, flush=True)
    sys.stdout.flush()
    os._exit(status)

"""Stand-ins for the platform's store, the instances and the clients, and the start of the nodes under review.

All addresses are loopback addresses: each machine of the deployment has one of its own. The nodes are started with
the command of deploy/system.toml, with settings rendered from the template that the deploy file names.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
APP_PORT, INBOUND_PORT, OUTBOUND_PORT, READY_PORT, STORE_PORT, METRICS_PORT = 8301, 8300, 8304, 8302, 8309, 9464
EOL = b"\r\n"


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def make_body(request_id, size):
    """The whole body that an instance gives to a request."""
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]


async def read_head(reader):
    """Returns the first line and the header fields of a message, or None at the end of the connection."""
    try:
        text = (await reader.readuntil(EOL + EOL)).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(EOL)).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


def format_message(first_line, fields, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + EOL + EOL + body


class Store:
    """The platform's metadata store: /kv-key, /kv-range and /kv-watch for reading."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 10
        self.changed = asyncio.Condition()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, STORE_PORT)

    async def put(self, key, document):
        """Stores a document. The return is the acknowledgement."""
        value = document if isinstance(document, bytes) else json.dumps(document).encode()
        async with self.changed:
            self.revision += 1
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision, "created": created,
                    "lease": 0}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()
        self.record.write(f"store: {key} is written and acknowledged, revision {self.revision}")

    async def delete(self, key):
        async with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.events.append({"key": key, "rev": self.revision, "deleted": True})
            self.changed.notify_all()
        self.record.write(f"store: {key} is deleted, revision {self.revision}")

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                await read_body(reader, head[1])
                path, _, query = head[0].split(" ")[1].partition("?")
                arguments = dict(part.partition("=")[::2] for part in query.split("&") if part)
                arguments = {name: re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m[1], 16)), value)
                             for name, value in arguments.items()}
                await asyncio.sleep(0.004)
                status, body = await self.answer(path, arguments)
                writer.write(format_message(f"HTTP/1.1 {status}", {"Content-Type": "application/json"},
                                            json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, path, arguments):
        prefix = arguments.get("prefix", "")
        if path == "/kv-key":
            item = self.items.get(arguments.get("key", ""))
            if item is None:
                return "404 Not Found", {"storeRevision": self.revision}
            return "200 OK", dict(item, storeRevision=self.revision)
        if path == "/kv-range":
            after = arguments.get("after", "")
            keys = [key for key in sorted(self.items) if key.startswith(prefix) and key > after]
            return "200 OK", {"items": [self.items[key] for key in keys[:500]], "hasMore": len(keys) > 500,
                              "storeRevision": self.revision}
        if path != "/kv-watch":
            return "404 Not Found", {}
        after = int(arguments["after"])
        end = time.monotonic() + min(30000, int(arguments.get("waitMs", "0"))) / 1000
        async with self.changed:
            while True:
                events = [event for event in self.events if event["rev"] > after and event["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return "200 OK", {"events": events, "storeRevision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Cut:
    """A proxy between one machine and the store that can partition the two: nothing gets through any more, and no
    connection is closed."""

    def __init__(self, record, name, store_ip):
        self.record, self.name, self.store_ip = record, name, store_ip
        self.is_cut = False
        self.watches = 0  # Watch requests that the machine has sent.

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, STORE_PORT)

    def cut(self):
        self.is_cut = True
        self.record.write(f"{self.name} is partitioned from the store")

    async def serve(self, reader, writer):
        if self.is_cut:
            await asyncio.sleep(1000)
        near = await asyncio.open_connection(self.store_ip, STORE_PORT)
        await asyncio.wait([asyncio.ensure_future(self.forward(reader, near[1], True)),
                            asyncio.ensure_future(self.forward(near[0], writer, False))])

    async def forward(self, reader, writer, is_request):
        try:
            while True:
                part = await reader.read(65536)
                if self.is_cut:
                    await asyncio.sleep(1000)
                if not part:
                    break
                if is_request:
                    self.watches += part.count(b"GET /kv-watch")
                writer.write(part)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()


class Instance:
    """An instance of a service. The path of a request tells its work: .../MS/BYTES."""

    def __init__(self, record, service, name, ip, zone, slots, queue=8):
        self.record, self.service, self.id, self.ip, self.zone = record, service, name, ip, zone
        self.slots, self.queue = slots, queue
        self.running = 0
        self.waiting = 0
        self.runs = []  # One entry for each run; see serve_request().
        self.free = asyncio.Condition()

    def get_entry(self, state="ready"):
        return {"service": self.service, "address": f"{self.ip}:{APP_PORT}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "coldLeftS": 0, "seq": 4, "born": int(time.time() * 1000)}

    async def start(self, store):
        self.server = await asyncio.start_server(self.serve, self.ip, APP_PORT, limit=1 << 20)
        await store.put(f"servers/{self.id}", self.get_entry())

    def make_fields(self, request_id):
        return {"Request-Id": request_id, "Server-Load": f"{self.running},{self.waiting},{self.slots}"}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if not await self.serve_request(head[0], head[1], body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_request(self, line, fields, body, reader, writer):
        request_id = fields.get("request-id")
        if fields.get("expect-instance", self.id) != self.id:
            writer.write(format_message("HTTP/1.1 421 Misdirected Request", {"Instance-Id": self.id, "Not-Run": "1"}))
            return True
        if request_id is None:
            writer.write(format_message("HTTP/1.1 400 Bad Request", {"Not-Run": "1"}))
            return True
        if self.running >= self.slots and self.waiting >= self.queue:
            writer.write(format_message("HTTP/1.1 503 Service Unavailable", dict(self.make_fields(request_id),
                                                                                  **{"Not-Run": "1"})))
            return True
        async with self.free:
            self.waiting += 1
            await self.free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        run = {"id": request_id, "line": line, "fields": fields, "body": len(body), "from": self.record.now(),
               "until": None, "end": None, "instance": self.id}
        self.runs.append(run)
        self.record.write(f"instance {self.id} runs {request_id} ({line}, body {len(body)} bytes,"
                          f" deadline {fields.get('request-deadline')} ms)")
        parts = line.split(" ")[1].split("/")
        work_s, size = int(parts[-2]) / 1000, int(parts[-1])
        end = run["from"] + work_s
        is_gone = False
        try:
            while not is_gone and self.record.now() < end:
                await asyncio.sleep(min(0.01, max(0.0, end - self.record.now())))
                # Bytes that have arrived meanwhile belong to the next request.
                is_gone = reader.at_eof() or reader.exception() is not None
            run["until"] = self.record.now()
            run["end"] = "dropped, its connection was closed" if is_gone else "done"
            self.record.write(f"instance {self.id}: run of {request_id} ends: {run['end']}")
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify_all()
        if is_gone:
            return False
        fields = dict(self.make_fields(request_id), **{"Server-Stamp": f"{self.id}.{request_id}"})
        writer.write(format_message("HTTP/1.1 200 OK", fields, make_body(request_id, size)))
        await writer.drain()
        return True


def render(template, fields):
    """Fills in a settings template as the users' page on deployment tells."""

    def find(scope, path):
        if path == ".":
            return scope
        value = scope
        for part in path.split("."):
            value = value[part] if isinstance(value, dict) and part in value else None
        return value

    def fill(text, scope, key, comma):
        def section(match):
            value = find(scope, match[2])
            if match[1] == "^":
                return "" if value else fill(match[3], scope, key, comma)
            if isinstance(value, dict):
                entries = list(value.items())
            elif isinstance(value, list):
                entries = list(enumerate(value))
            else:
                return fill(match[3], scope, key, comma) if value else ""
            last = len(entries) - 1
            return "".join(fill(match[3], entry, name, "," if index < last else "")
                           for index, (name, entry) in enumerate(entries))

        def place(match):
            name, _, form = match[1].partition("|")
            if name == "@":
                return str(key)
            if name == ",":
                return comma
            value = find(scope, name)
            if form == "json":
                return json.dumps(value)
            return "" if value is None else str(value)

        text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
        return re.sub(r"\{\{([^{}]+)\}\}", place, text)

    return fill(template, fields, "", "")


class Node:
    """One node, as a separate process."""

    def __init__(self, fleet, instance, name):
        self.fleet, self.instance, self.name, self.ip = fleet, instance, name, instance.ip
        self.store_ip = fleet.store_ip
        self.process = None
        self.exits = []  # Time and status of each end that the case did not cause.

    def start(self):
        fleet = self.fleet
        fields = {"nodeName": self.name, "service": self.instance.service, "zone": self.instance.zone,
                  "zones": fleet.zones, "ip": self.ip, "appAddr": f"{self.ip}:{APP_PORT}",
                  "listen": {"outbound": f"{self.ip}:{OUTBOUND_PORT}", "inbound": f"{self.ip}:{INBOUND_PORT}",
                             "ready": f"{self.ip}:{READY_PORT}"},
                  "platform": {"address": f"{self.store_ip}:{STORE_PORT}"}, "bounds": fleet.bounds,
                  "limits": {"memoryMb": fleet.memory_mb}}
        path = os.path.join(fleet.folder, f"{self.name}.settings")
        with open(path, "w", encoding="utf-8") as settings:
            settings.write(render(fleet.template, fields))
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": fleet.folder, "LANG": "C.UTF-8",
                       "FUCHSIAGAUGE_SETTINGS": path}
        self.log = open(os.path.join(fleet.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(fleet.command, cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=subprocess.STDOUT)

    def send_signal(self, number):
        self.fleet.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def get_memory_mb(self):
        """The memory that the process holds now, in MB; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
                found = re.search(r"VmRSS:\s+(\d+) kB", status.read())
            return int(found[1]) / 1024 if found else 0
        except (OSError, ProcessLookupError):
            return 0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200" in head[0]
        except (OSError, asyncio.TimeoutError):
            return False


class Fleet:
    """A small deployment: a store, instances and a node beside each instance."""

    def __init__(self, folder, record, zones=None, memory_mb=260, bounds=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.case_folder = folder
        self.zones = zones or {"seq-a": "seq"}
        self.memory_mb = memory_mb
        self.bounds = {"configApplyS": 2, "graceS": 6, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
                       "budgetExtraTries": 48}
        self.bounds.update(bounds or {})
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), encoding="utf-8") as deploy_file:
            deploy = deploy_file.read()
        self.command = re.search(r'^run = "(.*)"', deploy, re.M)[1].split()
        with open(os.path.join(REPOSITORY, re.search(r'^template = "(.*)"', deploy, re.M)[1]),
                  encoding="utf-8") as template:
            self.template = template.read()
        if not os.path.exists(os.path.join(REPOSITORY, self.command[0])):
            raise CannotRun("the program of the deploy file is not built")
        self.network = self.find_network()
        self.store_ip = f"{self.network}.2"
        self.store = Store(record)
        self.instances = []
        self.nodes = []

    @staticmethod
    def find_network():
        """Finds a range of loopback addresses whose ports are free."""
        for _ in range(50):
            network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for host, port in [(2, STORE_PORT)] + [(10 + index, port) for index in range(8) for port in
                                                       (APP_PORT, INBOUND_PORT, OUTBOUND_PORT, READY_PORT,
                                                        METRICS_PORT)]:
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{host}", port))
                return network
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def add(self, service, zone="seq-a", slots=16, queue=8, kind=Instance):
        number = len(self.instances)
        instance = kind(self.record, service, f"i-{random.getrandbits(32):08x}", f"{self.network}.{10 + number}", zone,
                        slots, queue)
        self.instances.append(instance)
        self.nodes.append(Node(self, instance, f"side-{zone}-{number + 1}"))
        return instance, self.nodes[-1]

    async def start(self, config):
        await self.store.start(self.store_ip)
        await self.store.put("op/config", config)
        for instance in self.instances:
            await instance.start(self.store)
        for node in self.nodes:
            node.start()
        await self.wait_ready(self.nodes)
        await asyncio.sleep(4)  # contactS, and traffic starts some seconds after the machines.

    async def wait_ready(self, nodes):
        end = time.monotonic() + 15
        for node in nodes:
            while not await node.is_ready():
                if time.monotonic() > end or node.process.poll() is not None:
                    raise CannotRun(f"{node.name} does not get ready")
                await asyncio.sleep(0.1)
            self.record.write(f"{node.name} is ready")

    def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        for node in self.nodes:
            log = os.path.join(self.folder, f"{node.name}.log")
            if os.path.exists(log):
                self.record.write(f"log of {node.name}, its last lines:")
                node.log.close()
                with open(log, encoding="utf-8", errors="replace") as lines:
                    for line in lines.readlines()[-12:]:
                        self.record.write("  " + line.rstrip())
        for name in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, name))
        os.rmdir(self.folder)


def make_route(host, prefix, service, kind="idempotent", timeout_s=6, target_s=1.5, priority=1, attempts=2):
    return {"host": host, "prefix": prefix, "routeKind": kind, "timeoutS": timeout_s, "targetLatencyS": target_s,
            "priority": priority, "service": service, "maxAttempts": attempts}


def make_config(version, routes, services, max_body=67108864):
    return {"version": f"{version:08x}", "routes": routes,
            "services": {name: {"healthPath": "/health", "maxConnections": 1018, "protocol": "h1", "tls": False}
                         for name in services},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": max_body, "headerTimeoutS": 3, "idleTimeoutS": 15}}


def format_request(method, host, path, request_id, deadline_ms, body=b"", extra=None):
    fields = {"Host": host, "Request-Id": request_id, "Request-Deadline": str(deadline_ms)}
    fields.update(extra or {})
    if method == "GET":
        text = "\r\n".join([f"GET {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()])
        return text.encode() + EOL + EOL
    return format_message(f"{method} {path} HTTP/1.1", fields, body)


def new_id():
    return f"{random.getrandbits(64):016x}"


def run_case(folder, play):
    """Plays a case and ends with its status: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"played {'with' if with_trouble else 'without'} the disruption")
    fleets = []

    async def main():
        try:
            return await asyncio.wait_for(play(record, with_trouble, fleets), 110)
        finally:
            for fleet in fleets:
                fleet.stop()
            await asyncio.sleep(0.2)

    status = 2
    try:
        is_broken = asyncio.run(main())
        record.say("the rule was BROKEN" if is_broken else "the rule held")
        status = 1 if is_broken else 0
    except CannotRun as reason:
        record.say(f"the case could not run: {reason}")
    except Exception as failure:  # pylint: disable=broad-except
        record.say(f"the case could not run: {type(failure).__name__} {failure}")
    record.file.close()
    sys.stdout.flush()
    os._exit(status)  # Connections that are still open need no farewell.

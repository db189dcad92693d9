"""A stand-in for an application instance, with the faults that the platform's page on instances allows."""

import asyncio
import random
import socket
import struct
import time

import wire

REFUSALS = ("503 Service Unavailable", "429 Too Many Requests")
POLL_S = 0.005
MUTE_S = 20  # Longer than any client waits.


class Connection:
    """One connection of a node to the instance."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.answered = 0
        self.late_bytes = b""  # Written in front of the next answer.

    def is_gone(self):
        return self.reader.at_eof() or self.reader.exception() is not None or self.writer.transport.is_closing()

    def reset(self):
        if not self.writer.transport.is_closing():
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class Instance:
    """Runs requests in slots. The path of a request tells its work: /KIND/MS/BYTES/CALLS.

    `faults` holds the share of the requests or answers that each fault hits now:
    refuse: refused with `Not-Run`, slots free;  refuse_unnamed: the same without the request's id
    copy: an answer is given once more, late;  copy_now: the same at once
    stray: a refusal is given once more in front of the answer to the same request, sent again on another connection
    mix: the beginning of another answer stands in front of an answer;  greet: the same, as the first bytes of a connection
    unnamed: a whole refusal that names no request stands in front of an answer
    noise: bytes that are no answer stand in front of one
    cut: an answer breaks off and the connection ends;  lose: the request runs and the connection ends
    mute: the request runs and gets no answer;  unframed: an answer without a length
    """

    def __init__(self, record, name, service, address, zone, slots, seed):
        self.record = record
        self.id = name
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.queue = slots
        self.random = random.Random(seed)
        self.faults = {}
        self.connections = set()
        self.refusals = {}  # By request id.
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.outbound = None  # Address of the node's listener for its own calls.
        self.reset_state()

    def reset_state(self):
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.born = int(time.time() * 1000)

    def get_entry(self, state="ready"):
        return {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": state, "coldLeftS": 0, "seq": 4, "born": self.born}

    async def listen(self):
        await asyncio.start_server(self.serve, *self.address, limit=1 << 20)

    def restart(self):
        """Ends all connections and starts again under the same id."""
        for connection in list(self.connections):
            connection.reset()
        self.reset_state()

    def hits(self, fault):
        return self.random.random() < self.faults.get(fault, 0)

    async def serve(self, reader, writer):
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            if self.hits("greet"):
                writer.write(self.make_fragment())
            while True:
                head = await wire.read_head(reader)
                if head is None:
                    break
                body = await wire.read_body(reader, head)
                await self.thawed.wait()
                if not await self.serve_request(connection, head, body):
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    def make_fields(self, request_id):
        return [("Request-Id", request_id), ("Server-Load", f"{self.running},{self.waiting},{self.slots}")]

    def make_fragment(self):
        """Returns the beginning of an answer to a request that is not named, or of one to another request."""
        status = self.random.choice(REFUSALS + ("421 Misdirected Request", "200 OK", "500 Internal Server Error"))
        fields = [("Server-Load", "1,0,16"), ("Retry-After", "0.2"), ("Date", "Sat, 05 Dec 2026 12:00:00 GMT")]
        fields.append(("Not-Run", "1") if status[0] == "4" or status[:3] == "503" else ("Server-Stamp", "a.b.200"))
        if self.random.random() < 0.3:
            fields.append(("Request-Id", f"{self.random.getrandbits(64):016x}"))
        self.random.shuffle(fields)
        text = wire.format_message(f"HTTP/1.1 {status}", fields, b"x" * self.random.randrange(30))
        return text[:self.random.randrange(1, len(text))]

    def make_refusal(self, request_id):
        fields = self.make_fields(request_id) + [("Not-Run", "1")]
        if self.hits("refuse_unnamed"):
            fields = fields[1:]
        return wire.format_message(f"HTTP/1.1 {self.random.choice(REFUSALS)}", fields)

    async def serve_request(self, connection, head, body):
        request_id = head.get("Request-Id")
        if head.get("Expect-Instance", self.id) != self.id:
            fields = [("Request-Id", request_id or ""), ("Instance-Id", self.id), ("Not-Run", "1")]
            return self.answer(connection, request_id, wire.format_message("HTTP/1.1 421 Misdirected Request", fields))
        if request_id is None:
            return self.answer(connection, "", wire.format_message("HTTP/1.1 400 Bad Request", [("Not-Run", "1")]))
        is_full = self.running >= self.slots and self.waiting >= self.queue
        if is_full or self.hits("refuse"):
            self.refusals[request_id] = self.make_refusal(request_id)
            return self.answer(connection, request_id, self.refusals[request_id])
        free = self.free  # A restarted instance has another condition, and none of the requests of before.
        async with free:
            self.waiting += 1
            await free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        try:
            return await self.run(connection, head, body, request_id)
        finally:
            async with free:
                if free is self.free:
                    self.running -= 1
                free.notify_all()

    async def run(self, connection, head, body, request_id):
        method, path, _ = head.first_line.split(" ")
        self.record.write("run", id=request_id, instance=self.id, service=self.service, method=method, path=path,
                          body=body.decode("latin-1"), caller=head.get("Caller-Service"))
        _, _, work_ms, size, calls = path.split("/")
        end = self.record.now() + int(work_ms) / 1000
        status = "200 OK"
        for number in range(int(calls)):
            if not await self.call(f"{request_id}.{number}", end):
                status = "500 Internal Server Error"
        while not connection.is_gone() and self.record.now() < end:
            await asyncio.sleep(min(POLL_S, max(0.0, end - self.record.now())))
        await self.thawed.wait()
        is_gone = connection.is_gone()
        self.record.write("ran", id=request_id, instance=self.id, status=status[:3], dropped=is_gone)
        if is_gone:
            return False
        return await self.give_result(connection, request_id, status, int(size))

    async def give_result(self, connection, request_id, status, size):
        """Gives the answer to a request that has run, or loses it. Returns whether the connection goes on."""
        content = wire.make_body(request_id, size) if status[:3] == "200" else b"failed"
        fields = self.make_fields(request_id) + [("Server-Stamp", f"{self.id}.{request_id}.{status[:3]}")]
        if self.hits("lose"):
            connection.reset()
            return False
        if self.hits("mute"):
            await asyncio.sleep(MUTE_S)
            return False
        if self.hits("unframed"):
            connection.writer.write(wire.format_head(f"HTTP/1.1 {status}", fields) + content)
            return False
        return self.answer(connection, request_id, wire.format_message(f"HTTP/1.1 {status}", fields, content))

    async def call(self, request_id, end):
        """Makes a call of the instance through its node. Returns whether it succeeded."""
        path = "/browse/10/50/0"
        self.record.write("sent", id=request_id, method="GET", path=path, body="", once=False, caller=self.service)
        try:
            reader, writer = await asyncio.open_connection(*self.outbound)
            left_ms = max(50, int((end - self.record.now()) * 1000) + 500)
            writer.write(wire.format_head(f"GET {path} HTTP/1.1", [("Host", "shop.example"), ("Request-Id", request_id),
                                                                   ("Request-Deadline", left_ms)]))
            head = await asyncio.wait_for(wire.read_head(reader), left_ms / 1000)
            writer.close()
            return head is not None and head.get_status() == 200
        except (OSError, ValueError, asyncio.TimeoutError):
            return False

    def answer(self, connection, request_id, text):
        """Writes an answer with the faults of the moment. Returns whether the connection goes on."""
        before, connection.late_bytes = connection.late_bytes, b""
        is_kept = connection.answered > 0
        connection.answered += 1
        if is_kept and self.hits("mix"):
            before += self.make_fragment()
            self.record.write("mixed", id=request_id, instance=self.id, before=before.decode("latin-1"))
        if is_kept and self.hits("unnamed"):
            before += wire.format_message(f"HTTP/1.1 {self.random.choice(REFUSALS)}", [("Not-Run", "1")])
        if self.hits("stray"):
            before += self.refusals.get(request_id, b"")
        if self.hits("noise"):
            before += bytes(self.random.getrandbits(8) for _ in range(self.random.randrange(1, 40)))
        if self.hits("copy"):
            connection.late_bytes = text
        if self.hits("cut"):
            connection.writer.write(before + text[:self.random.randrange(len(text))])
            connection.writer.close()
            return False
        connection.writer.write(before + text + (text if self.hits("copy_now") else b""))
        return True

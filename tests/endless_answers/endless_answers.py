#!/usr/bin/env python3
"""Instances and nodes that answer with bytes without end, against node processes on loopback.

Each form of answer is played by the instance of the callers' node, by the instance of another node and in place of that
other node. Guards against a process that keeps such bytes until it ends for lack of memory, and against ordinary
requests that get no answer during or after it.
"""

import argparse
import asyncio
import os
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))

import wire  # noqa: E402
from fleet import CALLERS_PORT, HOST, PEERS_PORT, Fleet  # noqa: E402
from record import Record  # noqa: E402

MEMORY_MB = 32
DESCRIPTORS = 1000
CALLERS = 200
ATTACK_S = 1  # Of each form.
ANSWER_S = 20
DEADLINE_MS = 4000
LARGEST_HEAD_BYTES = 65536  # That a node accepts in an answer.
HOPS = ("one", "two", "peer")

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"%sTransfer-Encoding: chunked\r\n\r\n"
BLOCK = b"x" * 16384
ID = b"%s"  # Stands for the fields of a proper answer.

# For each form, what the answer begins with and what is then repeated without end.
FORMS = {
    "noise": (b"", bytes(range(256)) * 64),
    "line-ends": (b"", b"\r\n" * 8192),
    "version": (b"HTTP/1.", b"1" * 16384),
    "reason": (b"HTTP/1.1 200 ", BLOCK),
    "field-name": (OK, BLOCK),
    "field-value": (OK + b"Name: ", BLOCK),
    "folded-field": (OK + b"Name: ", b"x\r\n " * 4096),
    "fields": (OK, b"a:b\r\n" * 3000),
    "fields-named": (OK + ID, b"a:b\r\n" * 3000),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 256),
    "interim-fields": (b"", b"HTTP/1.1 103 Early Hints\r\n" + b"a:b\r\n" * 12000 + b"\r\n"),
    "other-answers": (b"", OK + b"Request-Id: other\r\nContent-Length: 16384\r\n\r\n" + BLOCK),
    "body": (OK + ID + b"Content-Length: 1000000000000\r\n\r\n", BLOCK),
    "body-unframed": (OK + ID + b"\r\n", BLOCK),
    "body-of-another": (OK + b"Request-Id: other\r\nContent-Length: 1000000000000\r\n\r\n", BLOCK),
    "chunks": (CHUNKED, b"4000\r\n" + BLOCK + b"\r\n"),
    "small-chunks": (CHUNKED, b"1\r\nx\r\n" * 4096),
    "one-chunk": (CHUNKED + b"fffffffffff\r\n", BLOCK),
    "chunk-size": (CHUNKED, b"0" * 16384),
    "chunk-extension": (CHUNKED + b"1;e=", BLOCK),
    "chunk-extensions": (CHUNKED, b"1;e=" + BLOCK + b"\r\nx\r\n"),
    "trailer": (CHUNKED + b"1\r\nx\r\n0\r\n", b"a:b\r\n" * 3000),
    "trailer-value": (CHUNKED + b"1\r\nx\r\n0\r\nName: ", BLOCK),
    "after-the-answer": (OK + ID + b"Content-Length: 1\r\n\r\nx", BLOCK),
}
# A head that stops just below the limit and goes on with a byte now and then.
SLOW_FORMS = {"slow-fields": (OK, b"a:b\r\n" * ((LARGEST_HEAD_BYTES - 64) // 5)),
              "slow-trailer": (CHUNKED + b"1\r\nx\r\n0\r\n", b"a:b\r\n" * ((LARGEST_HEAD_BYTES - 64) // 5))}


class EndlessAnswers:
    """Serves connections in place of an instance or a node. Gives proper answers while `form` is None."""

    def __init__(self, serve_properly):
        self.serve_properly = serve_properly
        self.form = None
        self.sent_bytes = 0
        self.writers = set()

    async def serve(self, reader, writer):
        if self.form is None:
            await self.serve_properly(reader, writer)
            return
        self.writers.add(writer)
        try:
            while self.form:
                head = await wire.read_head(reader)
                if head is None:
                    break
                await wire.read_body(reader, head)
                await self.answer(writer, head)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, head):
        request_id = head.get("Request-Id", "none")
        named = f"Request-Id: {request_id}\r\nServer-Stamp: s.{request_id}.200\r\n".encode("latin-1")
        start, part = {**FORMS, **SLOW_FORMS}[self.form]
        writer.write(start.replace(b"%s", named))
        if self.form in SLOW_FORMS:
            writer.write(part)
            part = b"y"
        while self.form:
            writer.write(part)
            self.sent_bytes += len(part)
            await writer.drain()
            await asyncio.sleep(0.2 if self.form in SLOW_FORMS else 0)

    def end(self):
        self.form = None
        for writer in list(self.writers):
            writer.transport.abort()


class Play:
    """All forms from one place."""

    def __init__(self, fleet, hops):
        self.fleet = fleet
        self.hops = hops
        self.service = "orders" if hops == "one" else "browse"
        self.other_service = "browse" if hops == "one" else "orders"
        self.faulty = None
        self.count = 0
        self.statuses = {}
        instance = fleet.instances[0 if hops == "one" else 1]
        if hops != "peer":
            self.faulty = EndlessAnswers(instance.serve)
            instance.serve = self.faulty.serve

    async def replace_peer(self):
        """Puts a server of endless answers in the place of the second node."""
        node = self.fleet.nodes[1]
        self.fleet.tasks.pop().cancel()
        node.process.kill()
        node.process.wait()
        self.faulty = EndlessAnswers(None)
        await asyncio.start_server(self.faulty.serve, node.ip, PEERS_PORT, limit=1 << 20)

    async def ask(self, service):
        """Sends one request. Returns the status of its answer, or None."""
        self.count += 1
        try:
            reader, writer = await asyncio.open_connection(self.fleet.nodes[0].ip, CALLERS_PORT)
            writer.write(wire.format_head(f"GET /{service}/0/10/0 HTTP/1.1", [
                ("Host", HOST), ("Request-Id", f"r-{self.count}"), ("Request-Deadline", DEADLINE_MS)]))
            head = await asyncio.wait_for(wire.read_head(reader), 2 * DEADLINE_MS / 1000)
            if head:
                await asyncio.wait_for(reader.read(), 1) if head.get("Connection") == "close" else None
            writer.close()
            return head.get_status() if head else None
        except (OSError, ValueError, asyncio.TimeoutError):
            return None

    async def call(self, end):
        while self.fleet.record.now() < end:
            status = await self.ask(self.service)
            self.statuses[status] = self.statuses.get(status, 0) + 1
            await asyncio.sleep(0.02)

    async def ask_until_answered(self, service):
        end = self.fleet.record.now() + ANSWER_S
        status = None
        while status != 200 and self.fleet.record.now() < end:
            status = await self.ask(service)
            await asyncio.sleep(0.1)
        return [] if status == 200 else [f"an ordinary request for {service} is not answered: {status}"]

    async def play(self, form):
        """Returns the bounds that do not hold with one form."""
        nodes = [(node, node.process.pid) for node in self.fleet.nodes[:1 if self.hops == "peer" else 2]]
        for _, pid in nodes:
            with open(f"/proc/{pid}/clear_refs", "w", encoding="ascii") as file:
                file.write("5")  # Forgets the largest memory so far.
        self.statuses = {}
        self.faulty.sent_bytes = 0
        self.faulty.form = form
        end = self.fleet.record.now() + ATTACK_S
        callers = [asyncio.ensure_future(self.call(end)) for _ in range(CALLERS)]
        await asyncio.sleep(ATTACK_S / 2)
        # The instance of the callers' VM serves this one, or that of the other VM.
        faults = [] if self.hops == "peer" and self.other_service != "orders" \
            else await self.ask_until_answered(self.other_service)
        await asyncio.wait(callers, timeout=2 * DEADLINE_MS / 1000)
        sizes = [self.measure(node, pid) for node, pid in nodes]
        print(f"{form}: {self.faulty.sent_bytes} bytes, answers {self.statuses}, "
              + ", ".join(f"{size:.1f} MB" for size in sizes), flush=True)
        faults += [f"{node.name}: {size:.1f} MB of memory, allowed {MEMORY_MB}"
                   for (node, _), size in zip(nodes, sizes) if size > MEMORY_MB]
        faults += [f"{node.name}: the process has ended" for node, pid in nodes
                   if not node.is_running() or node.process.pid != pid]
        self.faulty.end()
        await asyncio.wait(callers, timeout=2 * DEADLINE_MS / 1000)
        if self.hops != "peer":
            faults += await self.ask_until_answered(self.service)
        return [f"{form}: {fault}" for fault in faults]

    @staticmethod
    def measure(node, pid):
        if not node.is_running() or node.process.pid != pid:
            return 0.0
        with open(f"/proc/{pid}/status", encoding="ascii") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmHWM:")) / 1024


async def play(program, hops, forms):
    with tempfile.TemporaryDirectory() as folder:
        checkout = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
        fleet = Fleet(Record(), folder, checkout, program, 1, zones=1)
        fleet.limits = {"memory_mb": MEMORY_MB, "connections": DESCRIPTORS}
        faults = []
        try:
            played = Play(fleet, hops)
            await fleet.start()
            if hops == "peer":
                await played.replace_peer()
            for form in forms:
                faults += await played.play(form)
            return faults
        finally:
            fleet.close()
            await asyncio.sleep(0.2)


def main():
    parser = argparse.ArgumentParser(description="Plays answers without end.")
    parser.add_argument("--program", required=True, help="path of fuchsiagauged")
    parser.add_argument("--hops", required=True, choices=HOPS)
    parser.add_argument("--forms", default=",".join([*FORMS, *SLOW_FORMS]), help="forms of answers, by commas")
    arguments = parser.parse_args()
    # Not asyncio.run(), which waits until all tasks of the stand-ins have ended.
    loop = asyncio.new_event_loop()
    faults = loop.run_until_complete(
        play(os.path.abspath(arguments.program), arguments.hops, arguments.forms.split(",")))
    print(f"{arguments.hops}: " + ("; ".join(faults) or "held"))
    sys.stdout.flush()
    os._exit(1 if faults else 0)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Clients that keep no limit, against node processes on loopback.

Each form is played through one node (the client's node runs beside the instance), through two (the instance runs
beside another node) and at the listener for peers. Guards against a process that ends, hangs or takes more memory or
descriptors than its settings allow, and against ordinary requests that get no answer afterwards.
"""

import argparse
import asyncio
import os
import resource
import socket
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))

import wire  # noqa: E402
from fleet import CALLERS_PORT, HOST, PEERS_PORT, Fleet  # noqa: E402
from record import Record  # noqa: E402

MEMORY_MB = 48
CONNECTIONS = 500
DESCRIPTORS = 1000
CLIENTS = 60
BODY_BYTES = 4 << 20
SMALL_CHUNKS = 1 << 20  # Chunks of one byte from each client.
ENDLESS_BYTES = 4 << 20  # Of trailers, of a chunk extension or of a head.
IDLE_CONNECTIONS = 2000
LARGEST_BODY_BYTES = 64 << 20
LARGEST_BODY_MEMORY_MB = 160
ANSWER_BYTES = 1000000
UNREAD_REQUESTS = 8  # Pipelined on each connection that never reads.
ATTACK_S = 8
ANSWER_S = 30
BLOCK = b"x" * 65536
HOPS = ("one", "two", "peer")


def make_head(path, fields, number):
    """Returns the head of a request, with the envelope that a peer adds; the listener for clients ignores it."""
    fields = [("Host", HOST), ("Request-Id", f"load-{number}"),
              ("fg-call", f"0 5000 5000 0 0 0 1 - - load-{number}")] + fields
    return wire.format_head(f"POST {path} HTTP/1.1", fields)


def make_request_start(path, number):
    return make_head(path, [("Transfer-Encoding", "chunked")], number)


async def send_parts(writer, part, count):
    for _ in range(count):
        writer.write(part)
        await writer.drain()


async def send_length(writer, path, number):
    writer.write(make_head(path, [("Content-Length", BODY_BYTES)], number))
    await send_parts(writer, b"x" * (BODY_BYTES // 4), 3)
    await send_parts(writer, b"x" * (BODY_BYTES // 4 - 1), 1)


async def send_pieces(writer, path, number):
    writer.write(make_head(path, [("Content-Length", BODY_BYTES)], number))
    for _ in range(BODY_BYTES // len(BLOCK) - 1):
        await send_parts(writer, BLOCK, 1)
        await asyncio.sleep(0.001)
    await send_parts(writer, BLOCK[1:], 1)


async def send_large_chunks(writer, path, number):
    writer.write(make_request_start(path, number))
    await send_parts(writer, b"100000\r\n" + b"x" * (1 << 20) + b"\r\n", BODY_BYTES >> 20)


async def send_small_chunks(writer, path, number):
    writer.write(make_request_start(path, number))
    await send_parts(writer, b"1\r\nx\r\n" * 8192, SMALL_CHUNKS // 8192)


async def send_trailers(writer, path, number):
    writer.write(make_request_start(path, number) + b"1\r\nx\r\n0\r\n")
    await send_parts(writer, b"X-More: " + b"y" * 4086 + b"\r\n", ENDLESS_BYTES // 4096)


async def send_extension(writer, path, number):
    writer.write(make_request_start(path, number) + b"1;e=")
    await send_parts(writer, BLOCK, ENDLESS_BYTES // len(BLOCK))


async def send_endless_head(writer, path, number):
    writer.write(make_head(path, [], number)[:-2])
    await send_parts(writer, b"X-More: " + b"y" * 4086 + b"\r\n", ENDLESS_BYTES // 4096)


async def send_many_fields(writer, path, number):
    """Legal heads of very short fields, with bodies that do not end, several on a connection."""
    fields = b"a:b\r\n" * 3000
    head = make_head(path, [("Content-Length", 1)], number)[:-2] + fields + b"\r\n"
    await send_parts(writer, head + b"x", 15)
    writer.write(head)


async def send_complete(writer, path, number):
    """Complete requests, which the instance runs for longer than the clients wait."""
    service = path.split("/")[1]
    writer.write(make_head(f"/{service}/20000/10/0", [("Content-Length", BODY_BYTES)], number))
    await send_parts(writer, b"x" * (BODY_BYTES // 4), 4)


async def send_idle(_writer, _path, _number):
    """Sends nothing."""


async def send_unread(writer, path, number):
    service = path.split("/")[1]
    for part in range(UNREAD_REQUESTS):
        fields = [("Content-Length", 0)]
        writer.write(make_head(f"/{service}/0/{ANSWER_BYTES}/0", fields, f"{number}-{part}"))


FORMS = {"length": send_length, "pieces": send_pieces, "large-chunks": send_large_chunks,
         "small-chunks": send_small_chunks, "trailers": send_trailers, "extension": send_extension,
         "endless-head": send_endless_head, "many-fields": send_many_fields, "complete": send_complete,
         "idle": send_idle, "unread": send_unread}
MIXED = ("length", "large-chunks", "trailers", "many-fields", "complete", "unread")


class Client:
    """Sends one form and keeps its connection until it is closed."""

    def __init__(self, address, form, path, number):
        self.address = address
        self.form = form
        self.path = path
        self.number = number
        self.writer = None

    async def run(self):
        sock = socket.socket()
        sock.setblocking(False)
        if self.form == "unread":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self.address)
            # Reads no more than the limit of the reader, as nothing takes its bytes.
            _, self.writer = await asyncio.open_connection(sock=sock, limit=1)
            await FORMS[self.form](self.writer, self.path, self.number)
        except OSError:
            pass

    def close(self):
        if self.writer:
            self.writer.transport.abort()


def get_memory_mb(form):
    return LARGEST_BODY_MEMORY_MB if form == "largest" else MEMORY_MB


class Play:
    """One form through one, two or the peers' listener of a node."""

    def __init__(self, fleet, form, hops):
        self.fleet = fleet
        self.body = b"x" * (LARGEST_BODY_BYTES if form == "largest" else 100)
        self.service = "orders" if hops == "one" else "browse"
        node = fleet.nodes[1 if hops == "peer" else 0]
        self.address = (node.ip, PEERS_PORT if hops == "peer" else CALLERS_PORT)
        self.form = form
        self.pids = [node.process.pid for node in fleet.nodes]

    def make_clients(self):
        count = IDLE_CONNECTIONS if self.form == "idle" else 1 if self.form == "largest" else CLIENTS
        forms = {"mixed": MIXED, "largest": ("idle",)}.get(self.form, (self.form,))
        path = f"/{self.service}/0/10/0"
        return [Client(self.address, forms[number % len(forms)], path, number) for number in range(count)]

    async def ask(self):
        """Sends ordinary requests until one is answered. Returns the last status."""
        end = self.fleet.record.now() + ANSWER_S
        status = None
        number = 0
        while status != 200 and self.fleet.record.now() < end:
            number += 1
            try:
                reader, writer = await asyncio.open_connection(self.fleet.nodes[0].ip, CALLERS_PORT)
                fields = [("Content-Length", len(self.body)), ("Request-Deadline", 5000)]
                writer.write(make_head(f"/{self.service}/0/10/0", fields, f"ordinary-{number}"))
                writer.write(self.body)
                head = await asyncio.wait_for(wire.read_head(reader), end - self.fleet.record.now())
                status = head.get_status() if head else None
                writer.close()
            except (OSError, ValueError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.2)
        return status

    async def run(self):
        """Returns the bounds that do not hold."""
        clients = self.make_clients()
        tasks = [asyncio.ensure_future(client.run()) for client in clients]
        await asyncio.wait(tasks, timeout=ATTACK_S)
        status = await self.ask()
        faults = [] if status == 200 else [f"an ordinary request is not answered: {status}"]
        for node, pid in zip(self.fleet.nodes, self.pids):
            faults += self.check(node, pid)
        for task in tasks:
            task.cancel()
        for client in clients:
            client.close()
        return faults

    def check(self, node, pid):
        if not node.is_running() or node.process.pid != pid:
            return [f"{node.name}: the process has ended"]
        with open(f"/proc/{pid}/status", encoding="ascii") as file:
            largest = next(int(line.split()[1]) for line in file if line.startswith("VmHWM:"))
        descriptors = len(os.listdir(f"/proc/{pid}/fd"))
        print(f"{node.name}: {largest / 1024:.1f} MB, {descriptors} descriptors")
        faults = []
        allowed = get_memory_mb(self.form)
        if largest > allowed * 1024:
            faults.append(f"{node.name}: {largest / 1024:.1f} MB of memory, allowed {allowed}")
        if descriptors > DESCRIPTORS:
            faults.append(f"{node.name}: {descriptors} descriptors, allowed {DESCRIPTORS}")
        return faults


async def play(program, form, hops):
    with tempfile.TemporaryDirectory() as folder:
        checkout = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
        fleet = Fleet(Record(), folder, checkout, program, 1, zones=1)
        fleet.limits = {"memory_mb": get_memory_mb(form), "connections": CONNECTIONS}
        try:
            await fleet.start()
            return await Play(fleet, form, hops).run()
        finally:
            fleet.close()
            await asyncio.sleep(0.2)


def main():
    parser = argparse.ArgumentParser(description="Plays clients that keep no limit.")
    parser.add_argument("--program", required=True, help="path of fuchsiagauged")
    parser.add_argument("--form", required=True, choices=list(FORMS) + ["mixed", "largest"])
    parser.add_argument("--hops", required=True, choices=HOPS)
    arguments = parser.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192), hard))
    faults = asyncio.run(play(os.path.abspath(arguments.program), arguments.form, arguments.hops))
    print(f"{arguments.form} {arguments.hops}: " + ("; ".join(faults) or "held"))
    sys.stdout.flush()
    # Streams of the stand-ins that are still open would report that their loop has ended.
    os._exit(1 if faults else 0)


if __name__ == "__main__":
    main()

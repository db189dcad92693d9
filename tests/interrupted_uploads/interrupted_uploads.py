#!/usr/bin/env python3
"""Instances that respond to a long upload at once and end the connection, against node processes on loopback.

Guards against a part of a response that reaches the client as a complete one, and against a response that is lost although
it was complete before the connection ended. Each form is played by the instance of the clients' node and by that of another.
"""

import argparse
import asyncio
import fcntl
import os
import random
import socket
import struct
import sys
import tempfile
import termios

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))

import wire  # noqa: E402
from fleet import CALLERS_PORT, HOST, Fleet  # noqa: E402
from record import Record  # noqa: E402

UPLOAD = b"x" * 8388608  # More than the socket buffers take.
CLIENTS = 24  # Of each form.
CLIENTS_AT_ONCE = 4
DEADLINE_MS = 10000
MAX_BODY_BYTES = 50000
MAX_PAUSE_S = 0.01
CLOSE_S = 0.2  # For the end of the stream to arrive before a reset.

# For each form: whether the response has a length, whether its connection is reset, and the status for the client.
FORMS = {"unframed-reset": (False, True, 502), "framed-reset": (True, True, 200), "unframed-close": (False, False, 200)}


def count_unacknowledged_bytes(sock):
    return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]


class HastyInstance:
    """Serves connections in place of an instance: responds to a request without reading its body."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.form = None

    async def serve(self, reader, writer):
        head = await wire.read_head(reader)
        if head is None:
            writer.close()
            return
        writer.transport.pause_reading()
        await asyncio.sleep(self.random.uniform(0, MAX_PAUSE_S))
        has_length, is_reset, _ = FORMS[self.form]
        request_id = head.get("Request-Id")
        body = wire.make_body(request_id, int(head.get("Body-Bytes")))
        fields = [("Request-Id", request_id), ("Server-Stamp", f"s.{request_id}.200")]
        if has_length:
            fields.append(("Content-Length", len(body)))
        writer.write(wire.format_head("HTTP/1.1 200 OK", fields) + body)
        sock = writer.get_extra_info("socket")
        while count_unacknowledged_bytes(sock) > 0:
            await asyncio.sleep(0)
        await asyncio.sleep(self.random.choice((0, self.random.uniform(0, MAX_PAUSE_S))))
        if is_reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        else:
            writer.write_eof()
            await asyncio.sleep(CLOSE_S)
        writer.transport.abort()


async def upload(node, service, number, body_bytes):
    """Returns the status and the body that a client gets."""
    reader, writer = await asyncio.open_connection(node.ip, CALLERS_PORT)
    try:
        writer.write(wire.format_head(f"POST /{service}/0/10/0 HTTP/1.1", [
            ("Host", HOST), ("Request-Id", f"u-{number}"), ("Request-Deadline", DEADLINE_MS), ("Body-Bytes", body_bytes),
            ("Content-Length", len(UPLOAD))]) + UPLOAD)
        head = await asyncio.wait_for(wire.read_head(reader), 2 * DEADLINE_MS / 1000)
        body = await asyncio.wait_for(wire.read_body(reader, head), DEADLINE_MS / 1000)
        return head.get_status(), body
    finally:
        writer.close()


class Play:
    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.instances = [HastyInstance(seed), HastyInstance(seed + 1)]
        self.count = 0
        for real, hasty in zip(fleet.instances, self.instances):
            real.serve = hasty.serve

    async def play(self, form, service):
        """Returns what the clients of one form got against its rule."""
        for instance in self.instances:
            instance.form = form
        expected = FORMS[form][2]
        faults = []
        for _ in range(CLIENTS // CLIENTS_AT_ONCE):
            sizes = [self.random.choice((0, self.random.randrange(MAX_BODY_BYTES))) for _ in range(CLIENTS_AT_ONCE)]
            first = self.count
            self.count += CLIENTS_AT_ONCE
            results = await asyncio.gather(*[upload(self.fleet.nodes[0], service, first + index, size)
                                             for index, size in enumerate(sizes)])
            for index, (size, (status, body)) in enumerate(zip(sizes, results)):
                is_whole = body == wire.make_body(f"u-{first + index}", size)
                if status != expected or (status == 200 and not is_whole):
                    faults.append(f"{status} with {len(body)} of {size} bytes")
        print(f"{form} {service}: {len(faults)} of {CLIENTS} against the rule", flush=True)
        return [f"{form} {service}: {fault}" for fault in faults]


async def play(program, seed):
    with tempfile.TemporaryDirectory() as folder:
        checkout = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
        fleet = Fleet(Record(), folder, checkout, program, seed, zones=1)
        faults = []
        try:
            played = Play(fleet, seed)
            await fleet.start()
            for form in FORMS:
                for service in ("orders", "browse"):  # At the clients' node, and behind another node.
                    faults += await played.play(form, service)
            return faults
        finally:
            fleet.close()
            await asyncio.sleep(0.2)


def main():
    parser = argparse.ArgumentParser(description="Plays responses to uploads that are interrupted.")
    parser.add_argument("--program", required=True, help="path of fuchsiagauged")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    # Not asyncio.run(), which waits until all tasks of the stand-ins have ended.
    loop = asyncio.new_event_loop()
    faults = loop.run_until_complete(play(os.path.abspath(arguments.program), arguments.seed))
    print("; ".join(faults) or "held")
    sys.stdout.flush()
    os._exit(1 if faults else 0)


if __name__ == "__main__":
    main()

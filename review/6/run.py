"""A node is stopped as planned while clients with pipelined requests read a large answer slowly.

Eight nodes with the project's stand-ins. One node gets SIGTERM. Shortly after, each of five clients of its machine asks for a large
body and reads it slowly. Before that first request has been answered, it sends two small idempotent requests on the same connection.
LOST is broken if an instance has run the first request and given its whole answer, and the connection ends before the client has got
it, where neither the deadline nor the end of the grace time explains that. The two requests behind it are not counted.
"""

import asyncio
import os
import shutil
import socket
import sys
import tempfile

FOLDER = os.path.dirname(os.path.abspath(__file__))
REPOSITORY = os.path.dirname(os.path.dirname(FOLDER))
sys.path.insert(0, os.path.join(REPOSITORY, "tests", "soak"))

import wire  # noqa: E402
from fleet import CALLERS_PORT, HOST, CannotRun, Fleet  # noqa: E402
from record import Record  # noqa: E402

PROGRAM = os.path.join(REPOSITORY, "target", "main", "fuchsiagauged")
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STOPPED = 1  # Number of the node.
CLIENTS = 5
CONTACT_S = 3
DEADLINE_S = 5
FIRST_BYTES = 1000000
FURTHER_AFTER_S = (0.3, 0.45)  # After the first request.
SLOW_FOR_S, SLOW_PAUSE_S, SLOW_PART = 0.8, 0.05, 65536
RUN_LIMIT_S = 90
EXIT_BROKEN, EXIT_CANNOT_RUN = 1, 2


async def read_slowly(connection, start, now):
    """Reads some bytes; for the first SLOW_FOR_S at most SLOW_PART in SLOW_PAUSE_S."""
    if now() - start < SLOW_FOR_S:
        await asyncio.sleep(SLOW_PAUSE_S)
    return await asyncio.get_running_loop().sock_recv(connection, SLOW_PART)


def find_answers(data, names):
    """Returns the names of the requests whose whole answers stand in the data."""
    found = []
    for name in names:
        head, separator, rest = data.partition(b"\r\n\r\n")
        if not separator:
            break
        lines = head.decode("latin-1").lower().split("\r\n")
        length = next((int(line.partition(":")[2]) for line in lines if line.startswith("content-length:")), 0)
        if len(rest) < length:
            break
        found.append(name)
        data = rest[length:]
    return found


async def play_client(fleet, number, send_at):
    record = fleet.record
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_PART)
    await loop.sock_connect(connection, (fleet.nodes[STOPPED].ip, CALLERS_PORT))

    async def send(name, path):
        text = wire.format_head(f"GET {path} HTTP/1.1", [
            ("Host", HOST), ("Request-Id", name), ("Request-Deadline", DEADLINE_S * 1000)])
        record.write("sent", id=name, path=path)
        await loop.sock_sendall(connection, text)
    names = [f"client-{number}-{position}" for position in range(1 + len(FURTHER_AFTER_S))]
    await asyncio.sleep(max(0.0, send_at - record.now()))
    await send(names[0], f"/browse/20/{FIRST_BYTES}/0")
    start = record.now()
    sent = 1
    data = b""
    while len(find_answers(data, names)) < len(names):
        is_first_answered = bool(find_answers(data, names[:1]))
        try:
            if sent < len(names) and record.now() - start > FURTHER_AFTER_S[sent - 1] and not is_first_answered:
                await send(names[sent], "/browse/20/100/0")
                sent += 1
            part = await asyncio.wait_for(read_slowly(connection, start, record.now), DEADLINE_S + 1)
        except (OSError, asyncio.TimeoutError) as failure:
            record.write("failed", client=number, why=repr(failure))
            break
        if not part:
            break
        data += part
    record.write("connection-ended", client=number, sent=sent, answered=find_answers(data, names), bytes=len(data))
    connection.close()


def find_lost(record):
    """Returns the first requests that ran, whose instance gave its whole answer, and whose client did not get it."""
    sent = {event["id"]: event["at"] for event in record.events if event["kind"] == "sent"}
    whole = {event["id"] for event in record.events if event["kind"] == "ran" and not event["dropped"] and event["status"] == "200"}
    lost = []
    for event in record.events:
        if event["kind"] != "connection-ended":
            continue
        name = f"client-{event['client']}-0"
        is_before_deadline = event["at"] < sent[name] + DEADLINE_S
        if name in whole and name not in event["answered"] and is_before_deadline:
            lost.append((name, event["bytes"], event["at"]))
    return lost


async def play(fleet):
    record = fleet.record
    await fleet.start()
    await asyncio.sleep(CONTACT_S + 1)
    stopped_at = record.now() + 0.2
    clients = [asyncio.ensure_future(play_client(fleet, number, stopped_at + 0.3)) for number in range(CLIENTS)]
    await asyncio.sleep(stopped_at - record.now())
    stop = asyncio.ensure_future(fleet.nodes[STOPPED].stop()) if HAS_TROUBLE else None
    await asyncio.gather(*clients)
    if stop:
        await stop
    await asyncio.sleep(0.5)
    ends = [event for event in record.events if event["kind"] == "connection-ended"]
    if not any(event["sent"] > 1 for event in ends):
        raise CannotRun("no client has sent a further request in time")
    lost = find_lost(record)
    record.write("verdict", lost=len(lost))
    print(f"{len(lost)} of {CLIENTS} answers of {FIRST_BYTES} bytes were cut off")
    for name, size, ended_at in lost:
        print(f"    {name}: its connection ended {ended_at - stopped_at:.2f} s after SIGTERM, with {size} bytes of the answer")
    return not lost


def main():
    folder = tempfile.mkdtemp(prefix="case-")
    record = Record(os.path.join(FOLDER, "record.txt"))
    status = EXIT_CANNOT_RUN
    fleet = None
    # Not asyncio.run(), which waits until all tasks of the stand-ins have ended.
    loop = asyncio.new_event_loop()
    try:
        fleet = Fleet(record, folder, REPOSITORY, PROGRAM, 1)
        is_kept = loop.run_until_complete(asyncio.wait_for(play(fleet), RUN_LIMIT_S))
        status = 0 if is_kept else EXIT_BROKEN
    except Exception as reason:  # Any failure of the script itself says nothing about the rule.
        sys.stderr.write(f"the case could not run: {reason!r}\n")
    finally:
        if fleet:
            fleet.close()
        record.close()
        shutil.rmtree(folder, ignore_errors=True)
        sys.stdout.flush()
        os._exit(status)


if __name__ == "__main__":
    main()

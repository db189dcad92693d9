"""A node is stopped as planned while clients pipeline reads and read a large answer slowly.

Eight nodes with the project's stand-ins. One node gets SIGTERM. Shortly after, each of five clients of its machine asks for a large
body, reads it slowly, and sends a second idempotent request on the same connection before the first has been answered.
LOST is broken if the node has passed the second request on to an instance and its connection ends without an answer to it, where
neither the deadline, nor the instance, nor the end of the grace time explains that.
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
from fleet import CALLERS_PORT, GRACE_S, HOST, CannotRun, Fleet  # noqa: E402
from record import Record  # noqa: E402

PROGRAM = os.path.join(REPOSITORY, "target", "main", "fuchsiagauged")
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STOPPED = 1  # Number of the node.
CLIENTS = 5
CONTACT_S = 3
DEADLINE_S = 5
NOTICE_S = 3  # Requests sent later may be cut by the end of the grace time.
LAST_SIXTH_S = GRACE_S * 5 / 6
FIRST_BYTES = 4000000
SECOND_WORK_MS = 1500
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
    first, second = f"first-{number}", f"second-{number}"
    await asyncio.sleep(max(0.0, send_at - record.now()))
    await send(first, f"/browse/20/{FIRST_BYTES}/0")
    start = record.now()
    data = b""
    is_second_sent = False
    while len(find_answers(data, [first, second])) < 2:
        if not is_second_sent and record.now() - start > 0.3 and not find_answers(data, [first]):
            await send(second, f"/browse/{SECOND_WORK_MS}/100/0")
            is_second_sent = True
        try:
            part = await asyncio.wait_for(read_slowly(connection, start, record.now), DEADLINE_S + 1)
        except (OSError, asyncio.TimeoutError) as failure:
            record.write("failed", id=second, why=type(failure).__name__)
            break
        if not part:
            break
        data += part
    answered = find_answers(data, [first, second])
    record.write("connection-ended", client=number, answered=answered, bytes=len(data))
    connection.close()


def find_lost(record, stopped_at):
    """Returns the second requests that were passed on and not answered, without the excuses of the rule."""
    sent = {event["id"]: event["at"] for event in record.events if event["kind"] == "sent"}
    ended = {event["client"]: event for event in record.events if event["kind"] == "connection-ended"}
    lost = []
    for number in range(CLIENTS):
        name = f"second-{number}"
        if name not in sent or name in ended[number]["answered"]:
            continue
        runs = [event for event in record.events if event["kind"] == "run" and event["id"] == name]
        work_ends = [event["at"] for event in record.events if event["kind"] == "ran" and event["id"] == name]
        is_before_deadline = ended[number]["at"] < sent[name] + DEADLINE_S
        is_at_work_at_end = any(at - stopped_at >= LAST_SIXTH_S for at in work_ends)
        is_excused = is_at_work_at_end and sent[name] - stopped_at <= NOTICE_S
        if runs and is_before_deadline and not is_excused:
            lost.append((name, runs[0]["at"] - stopped_at, ended[number]["at"] - stopped_at))
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
    if not [event for event in record.events if event["kind"] == "sent" and event["id"].startswith("second")]:
        raise CannotRun("no client has sent its second request in time")
    lost = find_lost(record, stopped_at)
    record.write("verdict", lost=len(lost))
    print(f"{len(lost)} of {CLIENTS} requests were passed on to an instance and got no answer")
    for name, run_at, ended_at in lost:
        print(f"    {name}: began to run {run_at:.2f} s and its connection ended {ended_at:.2f} s after SIGTERM")
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

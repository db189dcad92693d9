"""Instances work on for clients that have closed their connection. See claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "lib"))
import fleet as lib  # pylint: disable=wrong-import-position

HOST = "shop.example"
DEADLINE_MS = 6000
LEAVE_AFTER_S = 0.3
CLIENTS = 24
ORDERS = 16


async def ask(record, node, method, path, leaves_after_s, closed):
    """A client that opens a connection for one request, says so, and may leave before its deadline."""
    request_id = lib.new_id()
    reader, writer = await asyncio.open_connection(node.ip, lib.OUTBOUND_PORT)
    body = b"o" * 300 if method == "POST" else b""
    extra = {"Connection": "close"} if os.environ.get("KEPT", "0") == "0" else {}
    writer.write(lib.format_request(method, HOST, path, request_id, DEADLINE_MS, body, extra))
    record.write(f"client sends {request_id} ({method} {path}) to {node.name}")
    try:
        head = await asyncio.wait_for(lib.read_head(reader), leaves_after_s)
        record.write(f"{request_id}: {head[0] if head else 'connection closed'}")
    except asyncio.TimeoutError:
        pass
    writer.close()
    closed[request_id] = record.now()
    record.write(f"client of {request_id} has closed its connection")


async def play(record, with_trouble, fleets):
    fleet = lib.Fleet(FOLDER, record)
    fleets.append(fleet)
    for _ in range(2):
        fleet.add("catalogue", slots=32)
    fleet.add("orders", slots=4)
    routes = {"r-c": lib.make_route(HOST, "/c/", "catalogue", target_s=1.5, attempts=1),
              "r-o": lib.make_route(HOST, "/o/", "orders", "non_idempotent", target_s=1.5, priority=0, attempts=1)}
    await fleet.start(lib.make_config(1, routes, ["catalogue", "orders"]))
    leaves_after_s = LEAVE_AFTER_S if with_trouble else DEADLINE_MS / 1000
    closed = {}

    # Reads that take 2 s: the clients leave long before.
    await asyncio.gather(*[ask(record, fleet.nodes[number % 3], "GET", "/c/2000/500", leaves_after_s, closed)
                           for number in range(CLIENTS)])
    await asyncio.sleep(3)
    runs = [run for instance in fleet.instances[:2] for run in instance.runs]
    working = [run for run in runs if closed[run["id"]] < run["until"] - 0.5]
    record.say(f"half a second after the client had left, instances were at work on {len(working)} of {len(runs)}"
               f" idempotent requests that last longer (allowed: a quarter)")
    is_broken = len(working) > len(runs) / 4

    # Orders that wait for a slot: the clients leave while they wait.
    for _ in range(3):
        await asyncio.gather(*[ask(record, fleet.nodes[number % 3], "POST", "/o/400/400", leaves_after_s, closed)
                               for number in range(ORDERS)])
        await asyncio.sleep(3)
    late = [run for run in fleet.instances[2].runs if run["from"] > closed[run["id"]] + 0.5]
    record.say(f"{len(late)} orders reached the instance over half a second after their client had left"
               " (allowed: a few)")
    return is_broken or len(late) > 5


lib.run_case(FOLDER, play)

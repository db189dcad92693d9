"""A kept connection keeps an older configuration's limit on bodies. See claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "lib"))
import fleet as lib  # pylint: disable=wrong-import-position

HOST = "orders.example"
DEADLINE_MS = 6000
CONNECTIONS = 12
SMALL_LIMIT, LARGE_LIMIT = 65536, 1048576
SMALL_BODY, LARGE_BODY = b"o" * 300, b"O" * 200_000
AFTER_ACK_S = 3.0  # configApplyS is 2.


class Client:
    """A client with one kept connection."""

    def __init__(self, record, node, number):
        self.record, self.node, self.number = record, node, number

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.node.ip, lib.OUTBOUND_PORT)

    async def place_order(self, body):
        """Returns the status of the answer, and whether it is the instance's whole answer."""
        request_id = lib.new_id()
        self.record.write(f"client {self.number} sends order {request_id}, body {len(body)} bytes, to {self.node.name}")
        self.writer.write(lib.format_request("POST", HOST, "/o/50/400", request_id, DEADLINE_MS, body))
        try:
            head = await asyncio.wait_for(lib.read_head(self.reader), DEADLINE_MS / 1000)
            answer = await lib.read_body(self.reader, head[1]) if head else b""
        except (ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
            self.record.write(f"client {self.number}: {request_id}: {type(failure).__name__}")
            return 0
        status = int(head[0].split(" ")[1]) if head else 0
        is_whole = answer == lib.make_body(request_id, 400)
        self.record.write(f"client {self.number}: {request_id}: {status}, stamp {head[1].get('server-stamp') if head else None},"
                          f" {'whole body of the instance' if is_whole else answer}")
        return status


async def play(record, with_trouble, fleets):
    fleet = lib.Fleet(FOLDER, record)
    fleets.append(fleet)
    for _ in range(3):
        fleet.add("orders")
    routes = {"r-o": lib.make_route(HOST, "/o/", "orders", "non_idempotent", priority=0)}
    await fleet.start(lib.make_config(1, routes, ["orders"], SMALL_LIMIT if with_trouble else LARGE_LIMIT))
    clients = [Client(record, fleet.nodes[index % 3], index + 1) for index in range(CONNECTIONS)]
    for client in clients:
        await client.connect()
        if await client.place_order(SMALL_BODY) != 200:
            raise lib.CannotRun("the first order of a client fails")
    if with_trouble:
        await fleet.store.put("op/config", lib.make_config(4, routes, ["orders"], LARGE_LIMIT))
    await asyncio.sleep(AFTER_ACK_S)
    statuses = [await client.place_order(LARGE_BODY) for client in clients]
    fresh = Client(record, fleet.nodes[0], CONNECTIONS + 1)
    await fresh.connect()
    fresh_status = await fresh.place_order(LARGE_BODY)
    refused = statuses.count(413)
    record.say(f"{AFTER_ACK_S} s after the acknowledgement {refused} of {CONNECTIONS} proper orders on kept connections"
               f" are answered 413; one on a new connection is answered {fresh_status}")
    if fresh_status != 200:
        raise lib.CannotRun("the new limit is not in force at all")
    # CONFIG allows none; DENIED allows 5 + 1 in 500.
    return refused > 5


lib.run_case(FOLDER, play)

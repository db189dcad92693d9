"""An order runs twice if an instance refuses it and repeats the refusal. See claim.txt."""

import asyncio
import collections
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import fleet as lib  # pylint: disable=wrong-import-position

HOST = "orders.example"
DEADLINE_MS = 5000
ORDERS_PER_S = 80
PLAY_S = 60
REFUSED_SHARE = 0.2  # Of the requests of an instance, with slots free.
EXTRA_SHARE = 0.03  # Of the answers of a faulty instance: the answer is given once more.
MACHINES, FAULTY_MACHINES = 5, 3


class FaultyInstance(lib.Instance):
    """Refuses a part of its requests, and gives a part of its answers a second time, late: at the point where the
    next answer on the connection is expected."""

    refused_share = 0
    extra_share = 0

    async def serve_request(self, line, fields, body, reader, writer):
        extra = getattr(writer, "extra_answer", None)
        if extra:
            writer.extra_answer = None
            writer.write(extra[1])
            self.record.write(f"instance {self.id} gives its refusal of {extra[0]} once more, late")
        request_id = fields["request-id"]
        if fields.get("expect-instance") == self.id and random.random() < self.refused_share:
            refusal = lib.format_message("HTTP/1.1 503 Service Unavailable",
                                         dict(self.make_fields(request_id), **{"Not-Run": "1"}))
            self.record.write(f"instance {self.id} refuses {request_id}: 503, Not-Run")
            writer.write(refusal)
            if random.random() < self.extra_share:
                writer.extra_answer = (request_id, refusal)
            return True
        return await super().serve_request(line, fields, body, reader, writer)


async def place_order(record, node, answers):
    request_id = lib.new_id()
    record.write(f"client sends order {request_id} to {node.name}")
    try:
        reader, writer = await asyncio.open_connection(node.ip, lib.OUTBOUND_PORT)
        writer.write(lib.format_request("POST", HOST, "/o/60/400", request_id, DEADLINE_MS, b"o" * 300))
        head = await asyncio.wait_for(lib.read_head(reader), DEADLINE_MS / 1000)
        answers[request_id] = head[0] if head else "the connection was closed"
        writer.close()
    except (OSError, asyncio.TimeoutError) as failure:
        answers[request_id] = type(failure).__name__
    record.write(f"order {request_id}: {answers[request_id]}")


async def play(record, with_trouble, fleets):
    fleet = lib.Fleet(FOLDER, record)
    fleets.append(fleet)
    for number in range(MACHINES):
        instance, _ = fleet.add("orders", slots=90, queue=72, kind=FaultyInstance)
        if with_trouble:
            instance.refused_share = REFUSED_SHARE
            instance.extra_share = EXTRA_SHARE if number < FAULTY_MACHINES else 0
    routes = {"r-o": lib.make_route(HOST, "/o/", "orders", "non_idempotent", timeout_s=5, priority=0)}
    await fleet.start(lib.make_config(1, routes, ["orders"]))
    answers = {}
    tasks = []
    for number in range(ORDERS_PER_S * PLAY_S):
        tasks.append(asyncio.ensure_future(place_order(record, fleet.nodes[number % MACHINES], answers)))
        await asyncio.sleep(1 / ORDERS_PER_S)
    await asyncio.gather(*tasks)
    runs = collections.Counter(run["id"] for instance in fleet.instances for run in instance.runs)
    doubled = [request_id for request_id, count in runs.items() if count > 1]
    promised = [request_id for request_id in runs
                if any(f" {status} " in answers[request_id] + " " for status in (408, 421, 429, 503))]
    for request_id in doubled:
        record.write(f"TWICE: order {request_id} ran {runs[request_id]} times; its client got {answers[request_id]}")
    for request_id in promised:
        record.write(f"REFUSED: order {request_id} ran; its client got {answers[request_id]}")
    record.say(f"{len(doubled)} of {len(answers)} orders ran more than once; {len(promised)} ran and were answered"
               " as not run")
    return bool(doubled or promised)


lib.run_case(FOLDER, play)

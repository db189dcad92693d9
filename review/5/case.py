"""Machines in touch go on sending requests to an instance that leaves. See claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import fleet as lib  # pylint: disable=wrong-import-position

HOST = "catalogue.example"
DEADLINE_MS = 5000
DRAIN_S = 2.0
MACHINES = 4
REQUESTS_PER_S = 60  # Of the clients of one machine.


async def send(record, node, sent):
    request_id = lib.new_id()
    sent[request_id] = (record.now(), node.name)
    try:
        reader, writer = await asyncio.open_connection(node.ip, lib.OUTBOUND_PORT)
        writer.write(lib.format_request("GET", HOST, "/c/30/500", request_id, DEADLINE_MS))
        head = await asyncio.wait_for(lib.read_head(reader), DEADLINE_MS / 1000)
        body = await lib.read_body(reader, head[1])
        record.write(f"request {request_id} sent to {node.name} at {sent[request_id][0]:.3f} s: {head[0]},"
                     f" {'whole' if body == lib.make_body(request_id, 500) else 'other'} body")
        writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, TypeError) as failure:
        record.write(f"request {request_id} sent to {node.name}: {type(failure).__name__}")


async def play(record, with_trouble, fleets):
    fleet = lib.Fleet(FOLDER, record)
    fleets.append(fleet)
    paths = []
    for number in range(MACHINES):
        _, node = fleet.add("catalogue", slots=64, queue=32)
        node.store_ip = f"{fleet.network}.{100 + number}"
        paths.append(lib.Cut(record, node.name, fleet.store_ip))
        await paths[-1].start(node.store_ip)
    routes = {"r-c": lib.make_route(HOST, "/c/", "catalogue", timeout_s=5, target_s=1.2)}
    await fleet.start(lib.make_config(1, routes, ["catalogue"]))
    sent = {}
    tasks = []

    async def keep_sending(node):
        while True:
            tasks.append(asyncio.ensure_future(send(record, node, sent)))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    senders = [asyncio.ensure_future(keep_sending(node)) for node in fleet.nodes]
    # The nodes that watch the store are those that read it for the zone.
    before = [path.watches for path in paths]
    await asyncio.sleep(8)
    readers = [number for number in range(MACHINES) if paths[number].watches > before[number]]
    if len(readers) != 2:
        raise lib.CannotRun(f"{len(readers)} machines of the zone read the store")
    others = [number for number in range(MACHINES) if number not in readers]
    leaving = fleet.instances[others[0]]
    in_touch = {fleet.nodes[number].name for number in others}

    routes["r-idle"] = lib.make_route(HOST, "/idle/", "catalogue")
    await fleet.store.put("op/config", lib.make_config(5, routes, ["catalogue"]))
    await asyncio.sleep(0.015)
    if with_trouble:
        for number in readers:
            paths[number].cut()
    await asyncio.sleep(0.015)
    await fleet.store.put(f"servers/{leaving.id}", leaving.get_entry("draining"))
    left_at = record.now()
    await asyncio.sleep(4)
    for sender in senders:
        sender.cancel()
    await asyncio.gather(*tasks)
    late = [run for run in leaving.runs
            if run["from"] > left_at + DRAIN_S and sent[run["id"]][1] in in_touch]
    for run in late[:10]:
        record.write(f"late by {run['from'] - left_at - DRAIN_S:.3f} s: {run['id']} sent to {sent[run['id']][1]}")
    record.say(f"{len(late)} requests from machines in touch reached {leaving.id} later than {DRAIN_S} s after the store"
               " had acknowledged that it is draining")
    return bool(late)


lib.run_case(FOLDER, play)

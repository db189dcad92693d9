"""Publishes the first configuration with tenants while the store turns one machine away, and sends keys to that machine."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import mesh  # noqa: E402

TENANT, KEY, NEVER_HELD = "t-depo", "key-7f21c09a", "key-00000000"
REVOKE_S = 5
WAIT_S = 6  # Longer than `revokeS` and `configApplyS`; the store turns the machine away for less than 9 s.
COUNT = 10


async def play(record, folder):
    ran = {}

    async def run(instance, head, _):
        ran[head.get("Request-Id")] = head
        record.write("ran", id=head.get("Request-Id"), at=instance.id, key=head.get("Api-Key"),
                     tenant=head.get("Tenant"))
        return "200 OK", [], b"shelf"

    async def ask(node, name, key):
        reader, writer = await asyncio.open_connection(node.ip, mesh.CALLERS_PORT)
        writer.write(mesh.format_message("GET /shelves/4 HTTP/1.1", [
            ("Host", mesh.HOST), ("Request-Id", name), ("Request-Deadline", 5000), ("Api-Key", key)],
            has_length=False))
        record.write("sent", id=name, key=key)
        head = await asyncio.wait_for(mesh.read_head(reader), 5)
        record.write("answered", id=name, status=head.get_status() if head else "none")
        writer.close()

    machines = [(f"i-{number}", "raf", f"zone-{number}", run) for number in range(4)]
    fleet = mesh.Fleet(record, folder, machines, {"revoke_s": REVOKE_S, "apply_s": 3, "drain_s": 3},
                       {"quotas": {"overshoot": 0.25, "slack": 20}})
    routes = {"r-shelves": mesh.make_route("/shelves/", "raf", "idempotent")}
    tenants = {TENANT: {"apiKeys": [KEY], "priority": 0, "ratePerS": 100, "burst": 100}}
    try:
        await fleet.start(mesh.make_config(1, routes))
        if mesh.has_trouble():
            await fleet.store.set_mode("i-0", "busy")
        await fleet.store.put("op/config", mesh.make_config(2, routes, tenants=tenants))
        await asyncio.sleep(WAIT_S)
        for number in range(COUNT):
            await ask(fleet.nodes[0], f"held-{number}", KEY)
            await ask(fleet.nodes[0], f"never-{number}", NEVER_HELD)
    finally:
        fleet.close()
    leaked = [name for name, head in ran.items() if head.get("Api-Key") is not None]
    foreign = [name for name, head in ran.items() if head.get("Tenant") != TENANT]
    unknown = [name for name in ran if name.startswith("never-")]
    if not (leaked or foreign or unknown):
        return None
    return (f"UNASKED: {len(leaked)} of {len(ran)} runs got the client's key, {len(foreign)} another tenant or none; "
            f"ROUTE: {len(unknown)} runs with a key that no configuration ever held")


mesh.play(__file__, play)

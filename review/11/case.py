"""Takes the keys of the only tenant away with the tenant, and sends requests with them later than `revokeS` after it."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import mesh  # noqa: E402

TENANT, KEY = "t-depo", "key-7f21c09a"
REVOKE_S = 5
WAIT_S = 6  # Longer than `revokeS` and `configApplyS`.
COUNT = 5  # Requests at each node, before the change and after it.


async def play(record, folder):
    ran = {}

    async def run(instance, head, _):
        ran[head.get("Request-Id")] = head
        record.write("ran", id=head.get("Request-Id"), at=instance.id, key=head.get("Api-Key"),
                     tenant=head.get("Tenant"))
        return "200 OK", [], b"confirmed"

    async def ask(node, name):
        reader, writer = await asyncio.open_connection(node.ip, mesh.CALLERS_PORT)
        writer.write(mesh.format_message("POST /picks/4 HTTP/1.1", [
            ("Host", mesh.HOST), ("Request-Id", name), ("Request-Deadline", 5000), ("Api-Key", KEY)], b"pick 4"))
        record.write("sent", id=name, node=node.name)
        head = await asyncio.wait_for(mesh.read_head(reader), 5)
        record.write("answered", id=name, status=head.get_status() if head else "none")
        writer.close()
        return head.get_status() if head else None

    machines = [(f"i-{number}", "toplama", f"zone-{number}", run) for number in range(4)]
    fleet = mesh.Fleet(record, folder, machines, {"revoke_s": REVOKE_S, "apply_s": 3, "drain_s": 3},
                       {"quotas": {"overshoot": 0.25, "slack": 20}})
    routes = {"r-picks": mesh.make_route("/picks/", "toplama", "non_idempotent", anonymous=False)}
    tenants = {TENANT: {"apiKeys": [KEY], "priority": 0, "ratePerS": 100, "burst": 100}}
    try:
        await fleet.start(mesh.make_config(1, routes, tenants=tenants))
        for node in fleet.nodes:
            for number in range(COUNT):
                if await ask(node, f"before-{node.name}-{number}") != 200:
                    raise mesh.CannotRun("a request with a valid key does not succeed")
        if mesh.has_trouble():
            await fleet.store.put("op/config", mesh.make_config(2, routes, tenants={}))
        await asyncio.sleep(WAIT_S)
        for node in fleet.nodes:
            for number in range(COUNT):
                await ask(node, f"after-{node.name}-{number}")
    finally:
        fleet.close()
    revoked = [name for name in ran if name.startswith("after-") and mesh.has_trouble()]
    leaked = [name for name, head in ran.items() if head.get("Api-Key") is not None]
    foreign = [name for name, head in ran.items() if head.get("Tenant") not in (TENANT, None)]
    if not (revoked or leaked or foreign):
        return None
    return (f"CONFIG: {len(revoked)} of {COUNT * len(fleet.nodes)} requests ran with a key that had been taken away "
            f"more than {REVOKE_S} s before; UNASKED: {len(leaked)} runs got the key itself")


mesh.play(__file__, play)

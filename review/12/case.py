"""Stops a node while clients wait for a long answer and, behind it on the same connection, for a short one."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import mesh  # noqa: E402

GRACE_S = mesh.BOUNDS["grace_s"]
LAST_SIXTH_S = GRACE_S * 5 / 6
LAST_EXCUSED_SEND_S = 3
LOSS_SLACK_S = 0.2
DEADLINE_S = 6  # As `template-fetch` has it in the grown deployment.
LONG_WORK_S, SHORT_WORK_S = 4.6, 0.3
SEND_OFFSETS_S = (1.4, 1.5, 1.6, 1.7, 1.8, 1.9)  # After the stop signal; two misses at /ready take up to 2 s.
BODY = b"t" * 6000


class Request:
    """One request of a client. Times are in seconds after the stop signal."""

    def __init__(self, name, work_s):
        self.name, self.work_s = name, work_s
        self.sent_at = self.ended_at = self.status = None
        self.is_whole = False
        self.runs = []  # [instance, begin, end] of each run.


async def play(record, folder):
    requests = {}
    started_at = [0.0]

    def now():
        return record.now() - started_at[0]

    async def run(instance, head, _):
        request = requests[head.get("Request-Id")]
        entry = [instance.id, now(), float("inf")]
        request.runs.append(entry)
        record.write("run-begins", id=request.name, at=instance.id)
        await asyncio.sleep(request.work_s)
        entry[2] = now()
        record.write("run-ends", id=request.name, at=instance.id)
        return "200 OK", [], BODY

    async def send(node, offset_s, number):
        pair = [Request(f"long-{number}", LONG_WORK_S), Request(f"short-{number}", SHORT_WORK_S)]
        requests.update((request.name, request) for request in pair)
        reader, writer = await asyncio.open_connection(node.ip, mesh.CALLERS_PORT)
        await asyncio.sleep(max(0.0, offset_s - now()))
        writer.write(b"".join(mesh.format_message(f"GET /templates/{request.name} HTTP/1.1", [
            ("Host", mesh.HOST), ("Request-Id", request.name), ("Request-Deadline", DEADLINE_S * 1000)],
            has_length=False) for request in pair))
        for request in pair:
            request.sent_at = now()
            record.write("sent", id=request.name)
        try:
            for request in pair:
                head = await asyncio.wait_for(mesh.read_head(reader), DEADLINE_S)
                if head is None:
                    raise ConnectionError("closed without an answer")
                await mesh.read_body(reader, head)
                request.status, request.ended_at = head.get_status(), now()
                request.is_whole = True
                record.write("answered", id=request.name, status=request.status)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
            for request in pair:
                if request.ended_at is None:
                    request.ended_at = now()
                    record.write("unanswered", id=request.name, why=failure)
        writer.close()

    machines = [(f"i-{number}", "templates", f"zone-{number}", run) for number in range(4)]
    fleet = mesh.Fleet(record, folder, machines)
    try:
        await fleet.start(mesh.make_config(1, {"r-templates": mesh.make_route(
            "/templates/", "templates", "idempotent", timeoutS=DEADLINE_S, targetLatencyS=1.5)}))
        node = fleet.nodes[0]
        started_at[0] = record.now()
        if mesh.has_trouble():
            node.send_signal(signal.SIGTERM)
        await asyncio.gather(*[send(node, offset_s, number) for number, offset_s in enumerate(SEND_OFFSETS_S)])
    finally:
        fleet.close()
    lost = [request for request in requests.values() if mesh.has_trouble() and is_lost(request)]
    for request in lost:
        runs = ", ".join(f"{name} {begin:.2f} to {end:.2f} s" for name, begin, end in request.runs)
        record.write("LOST", id=request.name, sent=f"{request.sent_at:.2f}", ended=f"{request.ended_at:.2f}", runs=runs)
    return f"LOST: {len(lost)} of {len(requests)} requests" if lost else None


def is_lost(request):
    """The rule around a planned stop, with its excuses."""
    if request.is_whole or request.sent_at > GRACE_S + 1:
        return False
    if request.ended_at - request.sent_at >= DEADLINE_S:
        return False
    was_at_work_late = any(end >= LAST_SIXTH_S for _, _, end in request.runs)
    if was_at_work_late and request.sent_at <= LAST_EXCUSED_SEND_S:
        return False
    return bool(request.runs)  # One behind another that was not passed on is not counted.


mesh.play(__file__, play)

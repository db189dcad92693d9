#!/usr/bin/env python3
"""Stops one node in calm and sends requests in each tenth of its grace time: none may be lost.

The requests come on clients' connections, kept and new, whole and in parts, short and long, at the node that stops and, for an
instance that only this node can reach, at other nodes, which send them on over their connections to it. Some are sent
behind a long request on the same connection, whose response has to come first.
"""

import argparse
import asyncio
import collections
import itertools
import os
import random
import sys
import tempfile

import wire
from client import DEADLINE_MS, PROMISES
from fleet import CALLERS_PORT, GRACE_S, HOST, CannotRun, Fleet
from record import Record

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TENTHS = 10
WORK_MS = (20, 500, 1500, 3200)
FRONT_WORK_MS = 4600  # Of a request that others are sent behind; ends after the node if it is sent in the notice period.
BEHIND_SHARE = 0.25  # In addition to the others.
PART_PAUSE_S = 0.3
LOSS_SLACK_S = 0.2
NOTICE_S = 3  # A request sent later must not be cut, however long it takes.
LAST_SIXTH_S = GRACE_S * 5 / 6
SETTLE_S = 3  # `contactS`
SERVICES = ("alone", "browse", "orders", "browse", "orders", "browse", "orders", "browse")
CONNECT_TIMEOUT_S = 1
EXIT_BROKEN, EXIT_CANNOT_RUN = 1, 2


class Attempt:
    """One request and what became of it. Times are in seconds after the stop signal."""

    def __init__(self, request_id, tenth, case):
        self.id = request_id
        self.tenth = tenth
        self.is_peer, self.is_kept, self.is_whole, self.work_ms, self.prefix, self.is_behind = case
        self.sent_at = None
        self.end_at = None
        self.outcome = None

    def count_from(self, delay_s):
        """Counts the times from a signal that was sent later than planned, as on a busy machine."""
        self.sent_at = self.sent_at and self.sent_at - delay_s
        self.end_at = self.end_at and self.end_at - delay_s

    def describe(self):
        return " ".join([self.id, "peer" if self.is_peer else "client", "kept" if self.is_kept else "new",
                         "whole" if self.is_whole else "in parts", self.prefix, f"{self.work_ms} ms"]
                        + (["behind"] if self.is_behind else []))


async def open_connection(ip):
    return await asyncio.wait_for(asyncio.open_connection(ip, CALLERS_PORT), CONNECT_TIMEOUT_S)


def format_request(request_id, method, path, body=b""):
    fields = [("Host", HOST), ("Request-Id", request_id), ("Request-Deadline", DEADLINE_MS)]
    if method == "GET":
        return wire.format_head(f"GET {path} HTTP/1.1", fields)
    return wire.format_message(f"{method} {path} HTTP/1.1", fields, body)


async def send(fleet, attempt, signalled_at, offset_s):
    """Sends a request at its time and notes how it ends."""
    def now():
        return fleet.record.now() - signalled_at
    ip = fleet.nodes[2 if attempt.is_peer else 0].ip
    method = "GET" if attempt.prefix == "browse" else "POST"
    text = format_request(attempt.id, method, f"/{attempt.prefix}/{attempt.work_ms}/200/0",
                          f"order {attempt.id}".encode() if method == "POST" else b"")
    try:
        connection = None
        if attempt.is_kept:
            connection = await open_connection(ip)
            connection[1].write(format_request(attempt.id + "-before", "GET", "/browse/5/50/0"))
            head = await wire.read_head(connection[0])
            await wire.read_body(connection[0], head)
        await asyncio.sleep(max(0.0, offset_s - now()))
        connection = connection or await open_connection(ip)
        if not attempt.is_whole:
            connection[1].write(text[:len(text) // 2])
            text = text[len(text) // 2:]
            await asyncio.sleep(PART_PAUSE_S)
        if attempt.is_behind:
            text = format_request(attempt.id + "-front", "GET", f"/browse/{FRONT_WORK_MS}/200/0") + text
        connection[1].write(text)
        attempt.sent_at = now()
        if attempt.is_behind:
            head = await asyncio.wait_for(wire.read_head(connection[0]), DEADLINE_MS / 1000 + 2)
            await asyncio.wait_for(wire.read_body(connection[0], head), 2)
        head = await asyncio.wait_for(wire.read_head(connection[0]), DEADLINE_MS / 1000 + 2)
        if head is None:
            raise ConnectionError("closed")
        await asyncio.wait_for(wire.read_body(connection[0], head), 2)
        attempt.outcome = head.get_status()
    except (OSError, ValueError, AttributeError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
        attempt.outcome = f"{type(failure).__name__}"
    attempt.end_at = now()


def is_lost(attempt, runs):
    """Returns whether the rule on planned stops counts a request as lost."""
    if attempt.sent_at is None or attempt.sent_at > GRACE_S + 1:
        return False
    run = runs.get(attempt.id)
    is_answered = isinstance(attempt.outcome, int)
    if is_answered and not (attempt.outcome in (502, 504) and run):
        return False
    if run is None:
        return attempt.end_at - attempt.sent_at > LOSS_SLACK_S
    is_excused = run["until"] >= LAST_SIXTH_S and attempt.sent_at <= NOTICE_S
    return not is_excused


async def play(arguments, folder, record):
    fleet = Fleet(record, folder, arguments.checkout, arguments.program, arguments.seed, SERVICES)
    order = random.Random(arguments.seed)
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        cases = list(itertools.product((False, True), (False, True), (False, True), WORK_MS, ("alone", "browse", "orders"),
                                       (False,)))
        behind_cases = list(itertools.product((False, True), (False, True), (True,), WORK_MS, ("browse",), (True,)))
        attempts = []
        tasks = []
        signalled_at = record.now() + 1
        for tenth in range(TENTHS):
            drawn = order.sample(cases, arguments.sample)
            drawn += order.choices(behind_cases, k=round(arguments.sample * BEHIND_SHARE))
            for case in drawn:
                attempts.append(Attempt(f"t{tenth}-{len(attempts)}", tenth, case))
                offset_s = (tenth + order.random()) * GRACE_S / TENTHS
                tasks.append(asyncio.ensure_future(send(fleet, attempts[-1], signalled_at, offset_s)))
        await asyncio.sleep(signalled_at - record.now())
        stop = asyncio.ensure_future(fleet.nodes[0].stop())
        await asyncio.gather(stop, *tasks)
        sent_signal_at = next(event["at"] for event in record.events if event["kind"] == "signal")
        for attempt in attempts:
            attempt.count_from(sent_signal_at - signalled_at)
        runs = {}
        for event in record.events:
            if event["kind"] == "run":
                runs[event["id"]] = {"from": event["at"] - sent_signal_at, "until": float("inf")}
            if event["kind"] == "ran":
                runs[event["id"]]["until"] = event["at"] - sent_signal_at
        print(f"the signal was sent {sent_signal_at - signalled_at:.3f} s late")
        return attempts, runs
    finally:
        fleet.close()


def report(attempts, runs, record):
    """Prints a line for each tenth and each request that was lost or cut. Returns whether none was lost."""
    lost = [attempt for attempt in attempts if is_lost(attempt, runs)]
    for tenth in range(TENTHS):
        counts = collections.Counter()
        for attempt in (entry for entry in attempts if entry.tenth == tenth):
            is_promise = attempt.outcome in PROMISES
            counts["promise" if is_promise else str(attempt.outcome)] += 1
        print(f"tenth {tenth}: {dict(sorted(counts.items()))}")
    cut = [attempt for attempt in attempts if attempt.id in runs and not isinstance(attempt.outcome, int)]
    for attempt in sorted(set(lost + cut), key=attempts.index):
        run = runs.get(attempt.id)
        work = f"ran from {run['from']:.2f} s to {run['until']:.2f} s" if run else "did not run"
        print(f"    {'LOST' if attempt in lost else 'cut, excused'} {attempt.describe()}: sent at "
              f"{attempt.sent_at:.2f} s, {attempt.outcome} at {attempt.end_at:.2f} s, {work}")
    ends = [event for event in record.events if event["kind"] in ("ended", "killed-at-grace-end", "signal")]
    print("; ".join(f"{event['at'] - ends[0]['at']:.2f} s {event['kind']} {event['node']}" for event in ends))
    print(f"{len(attempts)} requests: {len(cut)} ran and were cut, {len(lost)} were LOST", flush=True)
    return not lost


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sample", type=int, default=24, help="requests in each tenth of the grace time")
    parser.add_argument("--checkout", default=REPOSITORY, help="checkout whose settings the program reads")
    parser.add_argument("--program", default=os.path.join(REPOSITORY, "build", "main", "fuchsiagauged"))
    arguments = parser.parse_args()
    arguments.program = os.path.abspath(arguments.program)
    record = Record()
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        try:
            attempts, runs = asyncio.new_event_loop().run_until_complete(play(arguments, folder, record))
            status = 0 if report(attempts, runs, record) else EXIT_BROKEN
        except CannotRun as reason:
            print(f"the run could not be played: {reason}")
            status = EXIT_CANNOT_RUN
    sys.stdout.flush()
    os._exit(status)


if __name__ == "__main__":
    main()

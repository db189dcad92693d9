#!/usr/bin/env python3
"""Fault soak: plays seeded faults against node processes on loopback and judges what clients and instances have seen."""

import argparse
import asyncio
import collections
import concurrent.futures
import os
import shutil
import subprocess
import sys
import tempfile

import disturbances
import judge
from client import Client
from fleet import CannotRun, Fleet
from record import Record

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CLIENTS_PER_NODE = 4
LAST_ANSWERS_S = 8
SETUP_S = 40  # The start, and disturbances that last beyond the end.
EXIT_BROKEN, EXIT_CANNOT_RUN = 1, 2


async def play(arguments, seed, record, folder):
    fleet = Fleet(record, folder, arguments.checkout, arguments.program, seed, zones=arguments.zones)
    clients = []
    try:
        await fleet.start()
        for node in fleet.nodes:
            for number in range(CLIENTS_PER_NODE):
                name = f"{node.number}x{number}"
                clients.append(Client(record, node, name, f"{seed}/{name}", arguments.rate / CLIENTS_PER_NODE))
        tasks = [asyncio.ensure_future(client.play()) for client in clients]
        if arguments.fault:
            for instance in fleet.instances:
                instance.faults.update(arguments.fault)
        await disturbances.Disturbances(fleet, seed, arguments.only).play(arguments.seconds)
        if not arguments.only:
            await asyncio.sleep(arguments.seconds)
        for client in clients:
            client.is_ending = True
        await asyncio.wait(tasks, timeout=LAST_ANSWERS_S)
    finally:
        fleet.close()


def play_seed(arguments, seed):
    """Plays one seed. Returns whether all promises were kept."""
    folder = tempfile.mkdtemp(prefix="soak-")
    path = os.path.join(arguments.keep, f"seed-{seed}.jsonl") if arguments.keep else None
    record = Record(path)
    # Not asyncio.run(), which waits until all tasks of the stand-ins have ended.
    loop = asyncio.new_event_loop()
    limit_s = arguments.seconds + SETUP_S + LAST_ANSWERS_S
    try:
        loop.run_until_complete(asyncio.wait_for(play(arguments, seed, record, folder), limit_s))
    except asyncio.TimeoutError as failure:
        raise CannotRun(f"not done within {limit_s:.0f} s") from failure
    finally:
        record.close()
        if arguments.keep:
            shutil.copytree(folder, os.path.join(arguments.keep, f"seed-{seed}-nodes"), dirs_exist_ok=True)
        shutil.rmtree(folder)
    broken = judge.judge(record.events)
    statuses = collections.Counter(event["status"] for event in record.events if event["kind"] == "answered")
    orders = sum(1 for event in record.events if event["kind"] == "sent" and event["once"])
    unanswered = sum(1 for event in record.events if event["kind"] == "unanswered")
    print(f"seed {seed}: {orders} orders, answers {dict(sorted(statuses.items()))}, {unanswered} unanswered; "
          f"broken: {judge.count(broken) or 'nothing'}", flush=True)
    for rule, name, what in broken[:arguments.show]:
        print(f"    {rule} {name}: {what}")
    return not broken


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, one after the other")
    parser.add_argument("--jobs", type=int, default=1, help="seeds to play at the same time")
    parser.add_argument("--seconds", type=float, default=20, help="duration of the disturbances of a seed")
    parser.add_argument("--only", default=",".join(disturbances.KINDS), help="kinds of disturbances, or none")
    parser.add_argument("--fault", action="append", default=[], metavar="NAME=SHARE",
                        help="a fault of all instances during the whole run")
    parser.add_argument("--zones", type=int, default=4, help="availability zones, of two nodes each; at most 12")
    parser.add_argument("--rate", type=float, default=20, help="batches of requests a second at each node")
    parser.add_argument("--checkout", default=REPOSITORY, help="checkout whose settings the program reads")
    parser.add_argument("--program", default=os.path.join(REPOSITORY, "build", "main", "fuchsiagauged"))
    parser.add_argument("--keep", help="folder for the records and the nodes' logs")
    parser.add_argument("--show", type=int, default=5, help="broken promises to print for each seed")
    arguments = parser.parse_args()
    arguments.only = [kind for kind in arguments.only.split(",") if kind not in ("", "none")]
    arguments.fault = {name: float(share) for name, share in (entry.split("=") for entry in arguments.fault)}
    arguments.program = os.path.abspath(arguments.program)
    if arguments.keep:
        os.makedirs(arguments.keep, exist_ok=True)
    return arguments


def play_in_process(seed):
    """Plays one seed in a process of its own, which the connections that are still open end with."""
    command = [sys.executable, "-B"] + sys.argv + ["--seed", str(seed), "--seeds", "1"]
    result = subprocess.run(command, stdout=subprocess.PIPE, text=True, check=False)
    print(result.stdout, end="", flush=True)
    return result.returncode


def main():
    arguments = parse_arguments()
    if arguments.seeds == 1:
        try:
            status = 0 if play_seed(arguments, arguments.seed) else EXIT_BROKEN
        except CannotRun as reason:
            print(f"seed {arguments.seed} could not be played: {reason}", flush=True)
            status = EXIT_CANNOT_RUN
        sys.stdout.flush()
        os._exit(status)
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        statuses = list(pool.map(play_in_process, seeds))
    print(f"{statuses.count(0)} of {len(statuses)} seeds kept all promises")
    sys.exit(max(statuses))


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Runs a table of fault cases against real processes and checks what must always hold.

Each case starts a fleet on loopback, sends load, brings about its faults and hands the callers' records, the
targets' journals, the faults and the nodes' audit trails to fuchsiagauge-check-run. The seed chooses the
instances and the load, so that a case can be run again alone: `misc/prove.py --case NAME --seed N`.
"""

import argparse
import json
import random
import shutil
import subprocess
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from fleet import ROOT, Fleet, FleetError, request
from fleet_links import Links
from users import USERS

RETRIES = 2
ORDERS_PER_S = 40
LOAD_END_GRACE_S = 15
CHECK_TIMEOUT_S = 60
VIEWS_TIMEOUT_S = 15
VIEWS_POLL_S = 0.25
EDIT_PAUSE_S = 0.05
GOOD_EXIT = 0
LOAD_EXITS = (0, 3)  # 3: wrong answers, which the checker lists


@dataclass(frozen=True)
class Fault:
    """One fault: what, when, how long, and the service whose instances it may hit."""

    kind: str
    at_s: float
    for_s: float
    service: str = ""


@dataclass(frozen=True)
class Case:
    """Faults, singly or in pairs, and the load they come upon."""

    name: str
    faults: tuple
    phases: tuple = ()
    must_hold: str = "every invariant"


def repeat(kind, service, for_s, times):
    """The same fault at several instants."""
    return tuple(Fault(kind, at_s, for_s, service) for at_s in times)


CASES = (
    Case("no fault", ()),
    Case("kill order nodes", repeat("kill", "orders", 1, (2, 4, 6, 8, 10))),
    Case("kill deep nodes", repeat("kill", "stock", 1, (2, 4, 6, 8, 10))),
    Case("kill targets of orders", repeat("kill-target", "orders", 1, (2, 4, 6, 8, 10))),
    Case("freeze order nodes", repeat("freeze", "orders", 1.5, (2, 4, 6, 8, 10))),
    Case("freeze targets of orders", repeat("freeze-target", "orders", 1.5, (2, 4, 6, 8, 10))),
    Case("planned stops", repeat("planned-stop", "orders", 2, (2, 5, 8)) +
         repeat("planned-stop", "proofs", 2, (3, 6))),
    Case("targets drain", repeat("drain", "orders", 4, (2, 7)) + repeat("drain", "catalogue", 4, (3, 7.5))),
    Case("targets lose answers", (Fault("drop-answers", 2, 8, "orders"), Fault("drop-answers", 2, 8, "store"),
                                  Fault("drop-answers", 3, 6, "status"))),
    Case("targets break the protocol", (Fault("garbage", 2, 4, "orders"), Fault("cut-answers", 2, 8, "proofs"),
                                        Fault("garbage", 5, 4, "catalogue"), Fault("double-answers", 3, 7, "status"))),
    Case("slow store", (Fault("slow", 3, 5, "store"),)),
    Case("catalogue surge", (Fault("surge", 3, 5),),
         phases=({"from_s": 3, "to_s": 8, "factor": 6, "groups": ["catalogue"]},)),
    Case("platform down", (Fault("platform-outage", 2, 8),) + repeat("kill", "catalogue", 1, (3, 6))),
    Case("operators race, platform stale", (Fault("edits", 1, 4), Fault("platform-stale", 5, 5),
                                            Fault("kill", 6, 1, "orders"), Fault("kill", 7, 1, "store"))),
    Case("zone cut off", (Fault("zone-cut", 2, 3), Fault("zone-cut", 7, 3))),
    Case("zone silent, late bytes arrive", (Fault("zone-silent", 2, 2), Fault("zone-silent", 5, 2),
                                            Fault("zone-silent", 8, 2))),
    Case("regions apart", (Fault("regions-apart", 2, 3), Fault("regions-apart", 7, 3))),
    Case("zone silent and order nodes killed", (Fault("zone-silent", 2, 3), Fault("zone-silent", 7, 3)) +
         repeat("kill", "orders", 1, (3, 5, 8))),
    Case("zone cut off from all, operators race", (Fault("zone-alone", 2, 5), Fault("edits", 3, 3))),
    Case("freeze and kill order nodes", repeat("freeze", "orders", 2, (2, 5, 8)) +
         repeat("kill", "orders", 1, (3, 6, 9))),
    Case("planned stop while the store is slow", (Fault("slow", 2, 8, "store"),) +
         repeat("planned-stop", "orders", 2, (3, 7))),
    Case("kills under surge", (Fault("surge", 2, 8),) + repeat("kill", "orders", 1, (3, 5, 7)),
         phases=({"from_s": 2, "to_s": 10, "factor": 4, "groups": ["catalogue"]},)),
    Case("lost answers and frozen nodes", (Fault("drop-answers", 1, 10, "orders"),) +
         repeat("freeze", "orders", 1.5, (3, 6, 9))),
)

LINK_FAULTS = ("zone-cut", "zone-silent", "zone-alone", "regions-apart")
TARGET_FAULTS = {
    "drop-answers": {"drop_answer_share": 0.2},
    "cut-answers": {"cut_answer_share": 0.2},
    "garbage": {"garbage_share": 0.2},
    "double-answers": {"duplicate_answer_share": 0.2},
    "slow": {"slow_factor": 8},
}
TARGET_REPAIR = {"drop_answer_share": 0, "cut_answer_share": 0, "garbage_share": 0, "duplicate_answer_share": 0,
                 "slow_factor": 1}


def drop_tickets(document):
    """Lets every class of a preset document run without a ticket."""
    for preset in document["presets"].values():
        for rules in preset["classes"].values():
            rules.pop("at_most_once", None)


class Proof:
    """One run of one case."""

    def __init__(self, case, seed, options):
        self.case = case
        self.out = options.out / f"{case.name.replace(' ', '-').replace(',', '')}-{seed}"
        self.duration_s = options.duration
        self.rate_factor = options.rate
        self.random = random.Random(f"{case.name}/{seed}")
        shutil.rmtree(self.out, ignore_errors=True)
        self.fleet = Fleet(USERS["vysivka"], self.out, base_port=options.base_port, seed=seed, journal_all=True,
                           node_settings={"policy.naive": True} if options.naive else {})
        self.links = Links(self.fleet)
        if any(fault.kind in LINK_FAULTS for fault in case.faults):
            self.fleet.links = self.links
        if options.naive:
            drop_tickets(self.fleet.document)
        self.faults = []
        self.busy = set()
        self.lock = threading.Lock()
        self.failures = []

    def run(self):
        """Runs the case and returns the checker's summary."""
        with self.fleet:
            self.wait_for_views()
            load = self.fleet.start_load(self.make_experiment())
            try:
                self.bring_all()
                status = load.wait(self.duration_s + LOAD_END_GRACE_S)
            finally:
                load.stop()
            if status not in LOAD_EXITS:
                self.failures.append(f"the load tool ended with {status}")
            for item in self.fleet.instances:
                self.keep_audit(item)
        self.write_faults()
        if len(self.faults) != len(self.case.faults):
            self.failures.append(f"{len(self.faults)} of {len(self.case.faults)} faults were brought about")
        summary = self.check()
        summary["failures"] = self.failures
        return summary

    def wait_for_views(self):
        """Waits until every node knows every other instance."""
        others = len(self.fleet.instances) - 1
        deadline = time.monotonic() + VIEWS_TIMEOUT_S
        while time.monotonic() < deadline:
            statuses = self.fleet.read_statuses().values()
            if all(status and len(status["instances"]) >= others for status in statuses):
                return
            time.sleep(VIEWS_POLL_S)
        self.failures.append("some nodes did not come to know every instance")

    def make_experiment(self):
        experiment = self.fleet.make_experiment(
            self.duration_s, phases=self.case.phases, rate_factor=self.rate_factor, retries=1, order_retries=5)
        for group in experiment["groups"]:
            if group["at_most_once"]:
                group["rate"] = ORDERS_PER_S
        return experiment

    # Faults

    def bring_all(self):
        began = time.monotonic()
        threads = [threading.Thread(target=self.bring, args=(fault, began)) for fault in self.case.faults]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def bring(self, fault, began):
        """Brings about one fault at its time and ends it."""
        time.sleep(max(0, began + fault.at_s - time.monotonic()))
        item = self.choose(fault.service) if fault.service else None
        name = item.name if item else ""
        record = {"kind": fault.kind, "instance": name, "start_ms": time.time() * 1000}
        ended_s = None
        try:
            ended_s = self.hit(fault, item)
        except (OSError, FleetError) as failure:
            self.failures.append(f"{fault.kind} {name}: {failure}")
        record["end_ms"] = (ended_s or time.time()) * 1000
        with self.lock:
            self.faults.append(record)
            self.busy.discard(name)

    def choose(self, service):
        """An instance of the service that no other fault holds at present."""
        with self.lock:
            items = self.fleet.find(service=service)
            free = [item for item in items if item.name not in self.busy]
            item = self.random.choice(free or items)
            self.busy.add(item.name)
        return item

    def hit(self, fault, item):
        """Brings about a fault and returns the instant at which it ended, if that was before now."""
        actions = {
            "kill": self.kill, "kill-target": self.kill_target, "freeze": self.freeze,
            "freeze-target": self.freeze_target, "planned-stop": self.stop_planned, "drain": self.drain,
            "platform-outage": self.take_platform_down, "platform-stale": self.make_platform_stale,
            "edits": self.race_edits, "surge": self.wait_out, "zone-cut": self.cut_zone,
            "zone-silent": self.silence_zone, "zone-alone": self.leave_zone_alone,
            "regions-apart": self.part_regions,
        }
        return actions.get(fault.kind, self.disturb_target)(fault, item)

    def kill(self, fault, item):
        self.keep_audit(item)
        item.node.kill()
        time.sleep(fault.for_s)
        return self.restart_node(item)

    def kill_target(self, fault, item):
        item.target.kill()
        time.sleep(fault.for_s)
        self.fleet.start_target(item)

    @staticmethod
    def freeze(fault, item):
        item.node.freeze()
        time.sleep(fault.for_s)
        item.node.wake()

    @staticmethod
    def freeze_target(fault, item):
        item.target.freeze()
        time.sleep(fault.for_s)
        item.target.wake()

    def stop_planned(self, fault, item):
        self.keep_audit(item)
        status = item.node.stop(LOAD_END_GRACE_S)
        if status != GOOD_EXIT:
            self.failures.append(f"{item.name} ended with {status} on a planned stop")
        time.sleep(fault.for_s)
        return self.restart_node(item)

    def restart_node(self, item):
        """Starts a node again and returns the instant from which it may serve."""
        restarted_s = time.time()
        self.fleet.start_node(item)
        self.fleet.wait_ready(item)
        return restarted_s

    def drain(self, fault, item):
        self.fleet.set_target_faults([item], draining=True)
        time.sleep(fault.for_s)
        self.fleet.set_target_faults([item], draining=False)

    def disturb_target(self, fault, item):
        self.fleet.set_target_faults([item], **TARGET_FAULTS[fault.kind])
        time.sleep(fault.for_s)
        self.fleet.set_target_faults([item], **{key: TARGET_REPAIR[key] for key in TARGET_FAULTS[fault.kind]})

    def take_platform_down(self, fault, _):
        self.fleet.set_platform_faults(outage=True)
        time.sleep(fault.for_s)
        self.fleet.set_platform_faults(outage=False)

    def make_platform_stale(self, fault, _):
        self.fleet.set_platform_faults(stale_revision=1)
        time.sleep(fault.for_s)
        self.fleet.set_platform_faults(stale_revision=0)

    def race_edits(self, fault, _):
        """Two operators choose different presets, one edit after another."""
        end = time.monotonic() + fault.for_s
        while time.monotonic() < end:
            self.fleet.put_in_force(self.random.choice(("ordinary", "peak")))
            time.sleep(EDIT_PAUSE_S)

    def cut_zone(self, fault, _):
        """Closes every connection between one zone and the others and takes no new ones."""
        self.disturb_zone(fault, "cut", with_platform=False)

    def silence_zone(self, fault, _):
        """Passes nothing between one zone and the others; what was sent arrives when the fault ends."""
        self.disturb_zone(fault, "blackhole", with_platform=False)

    def leave_zone_alone(self, fault, _):
        self.disturb_zone(fault, "cut", with_platform=True)

    def disturb_zone(self, fault, rule, with_platform):
        zone = self.random.choice(self.links.places())
        self.links.set_around(zone, with_platform, **{rule: True})
        time.sleep(fault.for_s)
        self.links.set_around(zone, with_platform, **{rule: False})

    def part_regions(self, fault, _):
        zones = self.fleet.user.zones.values()
        pairs = [(one, other) for here in zones for there in zones if here is not there
                 for one in here for other in there if one < other]
        for one, other in pairs:
            self.links.set(one, other, cut=True)
        time.sleep(fault.for_s)
        for one, other in pairs:
            self.links.set(one, other, cut=False)

    @staticmethod
    def wait_out(fault, _):
        time.sleep(fault.for_s)

    # Records

    def keep_audit(self, item):
        """Adds what a node's audit trail holds now; a node that does not answer has nothing to add."""
        try:
            status, body = request(item.admin, "/audit?after=0", timeout_s=2)
        except OSError:
            return
        if status == 200:
            with open(self.out / "audit.jsonl", "ab") as file:
                file.write(b" ".join(body.split(b"\n")).strip() + b"\n")

    def write_faults(self):
        lines = [json.dumps(record) for record in self.faults]
        (self.out / "faults.jsonl").write_text("".join(line + "\n" for line in lines))

    def check(self):
        command = [self.fleet.build / "bench/fuchsiagauge-check-run", "--json", "--retries", str(RETRIES),
                   "--faults", self.out / "faults.jsonl", "--audit", self.out / "audit.jsonl",
                   "--record", self.out / "load.record.jsonl", "--journal"]
        command += sorted(self.out.glob("*.journal"))
        done = subprocess.run(command, capture_output=True, text=True, timeout=CHECK_TIMEOUT_S, check=False)
        (self.out / "check.json").write_text(done.stdout)
        if not done.stdout:
            raise FleetError(f"the checker failed: {done.stderr.strip()}")
        return json.loads(done.stdout)


def count_violations(summary):
    return sum(summary["violations"].values())


def has_held(summary):
    """Whether nothing was violated and the run was what it claims to be."""
    return (count_violations(summary) == 0 and summary["unreadable_lines"] == 0 and not summary["failures"]
            and summary["whole"] > 0 and summary["orders"] > 0)


def format_row(name, seed, summary):
    faults = sum(summary["faults"].values())
    return (f"{name:<40} {seed:>5} {summary['requests']:>9} {summary['orders']:>7} {faults:>7} "
            f"{summary['whole']:>7} {summary['answered']:>9} {summary['not_run']:>8} {summary['unknown']:>8} "
            f"{summary['most_attempts']:>8} {count_violations(summary):>10}  "
            f"{'held' if has_held(summary) else 'FAILED'}")


HEADER = (f"{'case':<40} {'seed':>5} {'requests':>9} {'orders':>7} {'faults':>7} {'whole':>7} {'answered':>9} {'not-run':>8} "
          f"{'unknown':>8} {'attempts':>8} {'violations':>10}")


def add_up(summaries):
    """Adds the summaries of all runs."""
    total = {"faults": {}, "violations": {}, "failures": [], "most_attempts": 0}
    for summary in summaries:
        for key in ("requests", "orders", "whole", "answered", "not_run", "unknown", "unreadable_lines"):
            total[key] = total.get(key, 0) + summary[key]
        for key in ("faults", "violations"):
            for name, count in summary[key].items():
                total[key][name] = total[key].get(name, 0) + count
        total["failures"] += summary["failures"]
        total["most_attempts"] = max(total["most_attempts"], summary["most_attempts"])
    return total


def print_summary(total):
    unknown = total["unknown"] / max(1, total["requests"])
    print(f"\nshare of unknown outcomes: {unknown:.4f}")
    print("faults: " + ", ".join(f"{name} {count}" for name, count in sorted(total["faults"].items())))
    print("violations: " + ", ".join(f"{name} {count}" for name, count in sorted(total["violations"].items())))
    for failure in total["failures"]:
        print(f"not as planned: {failure}")


def run_case(case, seed, options, position):
    print(f"[{position}] {case.name}, seed {seed} ...", file=sys.stderr, flush=True)
    summary = Proof(case, seed, options).run()
    print(format_row(case.name, seed, summary), flush=True)
    for example in summary["examples"][:options.show]:
        print(f"    {example['invariant']} {example['subject']}: {example['detail']}", flush=True)
    return summary


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--case", action="append", help="run only this case; may be given again")
    parser.add_argument("--seed", type=int, action="append", help="seed; may be given again (default: 1)")
    parser.add_argument("--list", action="store_true", help="list the cases and end")
    parser.add_argument("--duration", type=float, default=12, help="seconds of load for a case")
    parser.add_argument("--rate", type=float, default=0.5, help="factor on the callers' rates")
    parser.add_argument("--naive", action="store_true",
                        help="run the baseline without tickets instead; expected to violate what must hold")
    parser.add_argument("--base-port", type=int, default=26000)
    parser.add_argument("--show", type=int, default=5, help="violations shown for a case")
    parser.add_argument("--out", type=Path, default=ROOT / "out/prove")
    return parser.parse_args()


def list_cases():
    for case in CASES:
        faults = ", ".join(f"{fault.kind} {fault.service} at {fault.at_s} s for {fault.for_s} s"
                           for fault in case.faults)
        print(f"{case.name}: {faults or 'none'}; must hold: {case.must_hold}")


def main():
    options = parse_options()
    if options.list:
        list_cases()
        return 0
    known = {case.name for case in CASES}
    unknown = set(options.case or ()) - known
    if unknown:
        print(f"unknown case: {', '.join(sorted(unknown))}; see --list", file=sys.stderr)
        return 2
    chosen = [(case, seed) for seed in options.seed or [1] for case in CASES
              if not options.case or case.name in options.case]
    print(HEADER, flush=True)
    try:
        summaries = [run_case(case, seed, options, f"{number + 1}/{len(chosen)}")
                     for number, (case, seed) in enumerate(chosen)]
    except FleetError as failure:
        print(f"prove: {failure}", file=sys.stderr)
        return 1
    total = add_up(summaries)
    print(format_row("all", len(options.seed or [1]), total))
    print_summary(total)
    return 0 if all(has_held(summary) for summary in summaries) else 1


if __name__ == "__main__":
    sys.exit(main())

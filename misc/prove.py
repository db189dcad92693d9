#!/usr/bin/env python3
"""Runs fault injection cases against real processes and checks the invariants.

Each case starts a fleet on loopback, sends load, injects its faults and passes the callers' records, the
targets' journals, the faults and the nodes' audit trails to fuchsiagauge-check-run. The seed determines the
load and which instances are hit, so that a single case can be repeated: `misc/prove.py --case NAME --seed N`.
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
from fleet_links import RelayLinks
from users import USERS

RETRIES = 2
ORDERS_PER_S = 40
LOAD_END_GRACE_S = 15
CHECK_TIMEOUT_S = 60
MEMBERSHIP_TIMEOUT_S = 15
MEMBERSHIP_POLL_S = 0.25
EDIT_INTERVAL_S = 0.05
EXIT_SUCCESS = 0
EXPECTED_LOAD_EXITS = (0, 3)  # 3: wrong answers, which the checker reports.


@dataclass(frozen=True)
class Fault:
    """A fault to inject: its kind, start, duration, and the service of which one instance is hit."""

    kind: str
    start_s: float
    duration_s: float
    service: str = ""


@dataclass(frozen=True)
class Case:
    """A fault injection case: the faults and the phases of the load."""

    name: str
    faults: tuple
    phases: tuple = ()
    must_hold: str = "every invariant"


def repeat_fault(kind, service, duration_s, start_times):
    """The same fault at several start times."""
    return tuple(Fault(kind, start_s, duration_s, service) for start_s in start_times)


CASES = (
    Case("no fault", ()),
    Case("kill order nodes", repeat_fault("kill", "orders", 1, (2, 4, 6, 8, 10))),
    Case("kill deep nodes", repeat_fault("kill", "stock", 1, (2, 4, 6, 8, 10))),
    Case("kill targets of orders", repeat_fault("kill-target", "orders", 1, (2, 4, 6, 8, 10))),
    Case("freeze order nodes", repeat_fault("freeze", "orders", 1.5, (2, 4, 6, 8, 10))),
    Case("freeze targets of orders", repeat_fault("freeze-target", "orders", 1.5, (2, 4, 6, 8, 10))),
    Case("planned stops", repeat_fault("planned-stop", "orders", 2, (2, 5, 8)) +
         repeat_fault("planned-stop", "proofs", 2, (3, 6))),
    Case("targets drain", repeat_fault("drain", "orders", 4, (2, 7)) +
         repeat_fault("drain", "catalogue", 4, (3, 7.5))),
    Case("targets lose answers", (Fault("drop-answers", 2, 8, "orders"), Fault("drop-answers", 2, 8, "store"),
                                  Fault("drop-answers", 3, 6, "status"))),
    Case("targets break the protocol", (Fault("garbage", 2, 4, "orders"), Fault("cut-answers", 2, 8, "proofs"),
                                        Fault("garbage", 5, 4, "catalogue"), Fault("double-answers", 3, 7, "status"))),
    Case("slow store", (Fault("slow", 3, 5, "store"),)),
    Case("catalogue surge", (Fault("surge", 3, 5),),
         phases=({"from_s": 3, "to_s": 8, "factor": 6, "groups": ["catalogue"]},)),
    Case("platform down", (Fault("platform-outage", 2, 8),) + repeat_fault("kill", "catalogue", 1, (3, 6))),
    Case("operators race, platform stale", (Fault("edits", 1, 4), Fault("platform-stale", 5, 5),
                                            Fault("kill", 6, 1, "orders"), Fault("kill", 7, 1, "store"))),
    Case("zone cut off", (Fault("zone-cut", 2, 3), Fault("zone-cut", 7, 3))),
    Case("zone silent, late bytes arrive", (Fault("zone-silent", 2, 2), Fault("zone-silent", 5, 2),
                                            Fault("zone-silent", 8, 2))),
    Case("regions apart", (Fault("regions-apart", 2, 3), Fault("regions-apart", 7, 3))),
    Case("zone silent and order nodes killed", (Fault("zone-silent", 2, 3), Fault("zone-silent", 7, 3)) +
         repeat_fault("kill", "orders", 1, (3, 5, 8))),
    Case("zone cut off from all, operators race", (Fault("zone-alone", 2, 5), Fault("edits", 3, 3))),
    Case("freeze and kill order nodes", repeat_fault("freeze", "orders", 2, (2, 5, 8)) +
         repeat_fault("kill", "orders", 1, (3, 6, 9))),
    Case("planned stop while the store is slow", (Fault("slow", 2, 8, "store"),) +
         repeat_fault("planned-stop", "orders", 2, (3, 7))),
    Case("kills under surge", (Fault("surge", 2, 8),) + repeat_fault("kill", "orders", 1, (3, 5, 7)),
         phases=({"from_s": 2, "to_s": 10, "factor": 4, "groups": ["catalogue"]},)),
    Case("lost answers and frozen nodes", (Fault("drop-answers", 1, 10, "orders"),) +
         repeat_fault("freeze", "orders", 1.5, (3, 6, 9))),
)

LINK_FAULTS = ("zone-cut", "zone-silent", "zone-alone", "regions-apart")
TARGET_FAULTS = {
    "drop-answers": {"drop_answer_share": 0.2},
    "cut-answers": {"cut_answer_share": 0.2},
    "garbage": {"garbage_share": 0.2},
    "double-answers": {"duplicate_answer_share": 0.2},
    "slow": {"slow_factor": 8},
}
TARGET_FAULTS_OFF = {"drop_answer_share": 0, "cut_answer_share": 0, "garbage_share": 0, "duplicate_answer_share": 0,
                     "slow_factor": 1}


def disable_tickets(document):
    """Removes the ticket requirement (`at_most_once`) from every class of a preset document."""
    for preset in document["presets"].values():
        for rules in preset["classes"].values():
            rules.pop("at_most_once", None)


class CaseRun:
    """One run of a case with one seed."""

    def __init__(self, case, seed, options):
        self.case = case
        self.out = options.out / f"{case.name.replace(' ', '-').replace(',', '')}-{seed}"
        self.load_duration_s = options.duration
        self.rate_factor = options.rate
        self.random = random.Random(f"{case.name}/{seed}")
        shutil.rmtree(self.out, ignore_errors=True)
        self.fleet = Fleet(USERS["vysivka"], self.out, base_port=options.base_port, seed=seed, journal_all=True,
                           node_settings={"policy.naive": True} if options.naive else {})
        self.links = RelayLinks(self.fleet)
        if any(fault.kind in LINK_FAULTS for fault in case.faults):
            self.fleet.links = self.links
        if options.naive:
            disable_tickets(self.fleet.document)
        self.injected_faults = []
        self.faulted_instances = set()
        self.lock = threading.Lock()
        self.failures = []

    def run(self):
        """Runs the case and returns the checker's summary, extended by `failures` of the run itself."""
        with self.fleet:
            self.wait_for_full_membership()
            load = self.fleet.start_load(self.make_experiment())
            try:
                self.inject_all_faults()
                status = load.wait(self.load_duration_s + LOAD_END_GRACE_S)
            finally:
                load.stop()
            if status not in EXPECTED_LOAD_EXITS:
                self.failures.append(f"the load tool exited with status {status}")
            for instance in self.fleet.instances:
                self.append_audit_trail(instance)
        self.write_faults()
        if len(self.injected_faults) != len(self.case.faults):
            self.failures.append(f"{len(self.injected_faults)} of {len(self.case.faults)} faults were injected")
        summary = self.check()
        summary["failures"] = self.failures
        return summary

    def wait_for_full_membership(self):
        """Waits until the status of every node lists all other instances."""
        others = len(self.fleet.instances) - 1
        deadline = time.monotonic() + MEMBERSHIP_TIMEOUT_S
        while time.monotonic() < deadline:
            statuses = self.fleet.read_statuses().values()
            if all(status and len(status["instances"]) >= others for status in statuses):
                return
            time.sleep(MEMBERSHIP_POLL_S)
        self.failures.append(f"some nodes did not list every instance within {MEMBERSHIP_TIMEOUT_S} s")

    def make_experiment(self):
        experiment = self.fleet.make_experiment(
            self.load_duration_s, phases=self.case.phases, rate_factor=self.rate_factor, retries=1, order_retries=5)
        for group in experiment["groups"]:
            if group["at_most_once"]:
                group["rate"] = ORDERS_PER_S
        return experiment

    # Faults

    def inject_all_faults(self):
        load_start = time.monotonic()
        threads = [threading.Thread(target=self.inject_fault, args=(fault, load_start))
                   for fault in self.case.faults]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def inject_fault(self, fault, load_start):
        """Injects one fault at its start time and records it after its end."""
        time.sleep(max(0, load_start + fault.start_s - time.monotonic()))
        instance = self.pick_instance(fault.service) if fault.service else None
        name = instance.name if instance else ""
        record = {"kind": fault.kind, "instance": name, "start_ms": time.time() * 1000}
        end_s = None
        try:
            end_s = self.apply_fault(fault, instance)
        except (OSError, FleetError) as error:
            self.failures.append(f"{fault.kind} {name}: {error}")
        record["end_ms"] = (end_s or time.time()) * 1000
        with self.lock:
            self.injected_faults.append(record)
            self.faulted_instances.discard(name)

    def pick_instance(self, service):
        """A random instance of the service, preferably one that no other fault is hitting."""
        with self.lock:
            instances = self.fleet.find_instances(service=service)
            free = [instance for instance in instances if instance.name not in self.faulted_instances]
            instance = self.random.choice(free or instances)
            self.faulted_instances.add(instance.name)
        return instance

    def apply_fault(self, fault, instance):
        """Injects a fault for its duration.

        Returns its end as wall time in seconds, or None if it ended just now.
        """
        actions = {
            "kill": self.kill_node, "kill-target": self.kill_target, "freeze": self.suspend_node,
            "freeze-target": self.suspend_target, "planned-stop": self.stop_node, "drain": self.drain_target,
            "platform-outage": self.cause_platform_outage, "platform-stale": self.serve_stale_documents,
            "edits": self.publish_conflicting_edits, "surge": self.wait_for_surge, "zone-cut": self.cut_zone,
            "zone-silent": self.blackhole_zone, "zone-alone": self.isolate_zone,
            "regions-apart": self.partition_regions,
        }
        return actions.get(fault.kind, self.apply_target_fault)(fault, instance)

    def kill_node(self, fault, instance):
        self.append_audit_trail(instance)
        instance.node.kill()
        time.sleep(fault.duration_s)
        return self.restart_node(instance)

    def kill_target(self, fault, instance):
        instance.target.kill()
        time.sleep(fault.duration_s)
        self.fleet.start_target(instance)

    @staticmethod
    def suspend_node(fault, instance):
        instance.node.suspend()
        time.sleep(fault.duration_s)
        instance.node.resume()

    @staticmethod
    def suspend_target(fault, instance):
        instance.target.suspend()
        time.sleep(fault.duration_s)
        instance.target.resume()

    def stop_node(self, fault, instance):
        self.append_audit_trail(instance)
        status = instance.node.stop(LOAD_END_GRACE_S)
        if status != EXIT_SUCCESS:
            self.failures.append(f"{instance.name} exited with status {status} on a planned stop")
        time.sleep(fault.duration_s)
        return self.restart_node(instance)

    def restart_node(self, instance):
        """Starts a node again and returns the wall time in seconds from which it may serve."""
        restarted_s = time.time()
        self.fleet.start_node(instance)
        self.fleet.wait_for_node(instance)
        return restarted_s

    def drain_target(self, fault, instance):
        self.fleet.set_target_faults([instance], draining=True)
        time.sleep(fault.duration_s)
        self.fleet.set_target_faults([instance], draining=False)

    def apply_target_fault(self, fault, instance):
        self.fleet.set_target_faults([instance], **TARGET_FAULTS[fault.kind])
        time.sleep(fault.duration_s)
        self.fleet.set_target_faults(
            [instance], **{key: TARGET_FAULTS_OFF[key] for key in TARGET_FAULTS[fault.kind]})

    def cause_platform_outage(self, fault, _):
        self.fleet.set_platform_faults(outage=True)
        time.sleep(fault.duration_s)
        self.fleet.set_platform_faults(outage=False)

    def serve_stale_documents(self, fault, _):
        self.fleet.set_platform_faults(stale_revision=1)
        time.sleep(fault.duration_s)
        self.fleet.set_platform_faults(stale_revision=0)

    def publish_conflicting_edits(self, fault, _):
        """Publishes edits in quick succession that activate different presets, as two operators might."""
        end = time.monotonic() + fault.duration_s
        while time.monotonic() < end:
            self.fleet.activate_preset(self.random.choice(("ordinary", "peak")))
            time.sleep(EDIT_INTERVAL_S)

    def cut_zone(self, fault, _):
        """Closes all connections between one zone and the others and refuses new ones."""
        self.apply_zone_rule(fault, "cut", with_platform=False)

    def blackhole_zone(self, fault, _):
        """Holds back all traffic between one zone and the others and delivers it when the fault ends."""
        self.apply_zone_rule(fault, "blackhole", with_platform=False)

    def isolate_zone(self, fault, _):
        """Cuts one zone off from the other zones and from the platform."""
        self.apply_zone_rule(fault, "cut", with_platform=True)

    def apply_zone_rule(self, fault, rule, with_platform):
        zone = self.random.choice(self.links.list_locations())
        self.links.set_rules_of_location(zone, with_platform, **{rule: True})
        time.sleep(fault.duration_s)
        self.links.set_rules_of_location(zone, with_platform, **{rule: False})

    def partition_regions(self, fault, _):
        """Cuts all links between zones of different regions."""
        region_zones = self.fleet.user.zones.values()
        pairs = [(zone, other) for zones in region_zones for other_zones in region_zones
                 if zones is not other_zones for zone in zones for other in other_zones if zone < other]
        for zone, other in pairs:
            self.links.set_rules(zone, other, cut=True)
        time.sleep(fault.duration_s)
        for zone, other in pairs:
            self.links.set_rules(zone, other, cut=False)

    @staticmethod
    def wait_for_surge(fault, _):
        """Does nothing during the surge, which a phase of the load brings about."""
        time.sleep(fault.duration_s)

    # Records

    def append_audit_trail(self, instance):
        """Appends a node's current audit trail to `audit.jsonl`; skips a node that does not respond."""
        try:
            status, body = request(instance.admin, "/audit?after=0", timeout_s=2)
        except OSError:
            return
        if status == 200:
            with open(self.out / "audit.jsonl", "ab") as file:
                file.write(b" ".join(body.split(b"\n")).strip() + b"\n")

    def write_faults(self):
        lines = [json.dumps(record) for record in self.injected_faults]
        (self.out / "faults.jsonl").write_text("".join(line + "\n" for line in lines))

    def check(self):
        command = [self.fleet.build / "bench/fuchsiagauge-check-run", "--json", "--retries", str(RETRIES),
                   "--faults", self.out / "faults.jsonl", "--audit", self.out / "audit.jsonl",
                   "--record", self.out / "load.record.jsonl", "--journal"]
        command += sorted(self.out.glob("*.journal"))
        result = subprocess.run(command, capture_output=True, text=True, timeout=CHECK_TIMEOUT_S, check=False)
        (self.out / "check.json").write_text(result.stdout)
        if not result.stdout:
            raise FleetError(f"the checker failed: {result.stderr.strip()}")
        return json.loads(result.stdout)


def count_violations(summary):
    return sum(summary["violations"].values())


def has_passed(summary):
    """Whether no invariant was violated and the run was valid: complete, readable and with answered load."""
    return (count_violations(summary) == 0 and summary["unreadable_lines"] == 0 and not summary["failures"]
            and summary["whole"] > 0 and summary["orders"] > 0)


def format_row(name, seed, summary):
    faults = sum(summary["faults"].values())
    return (f"{name:<40} {seed:>5} {summary['requests']:>9} {summary['orders']:>7} {faults:>7} "
            f"{summary['whole']:>7} {summary['answered']:>9} {summary['not_run']:>8} {summary['unknown']:>8} "
            f"{summary['most_attempts']:>8} {count_violations(summary):>10}  "
            f"{'held' if has_passed(summary) else 'FAILED'}")


TABLE_HEADER = (f"{'case':<40} {'seed':>5} {'requests':>9} {'orders':>7} {'faults':>7} {'whole':>7} "
                f"{'answered':>9} {'not-run':>8} {'unknown':>8} {'attempts':>8} {'violations':>10}")


def sum_summaries(summaries):
    """Sums the summaries of all runs; `most_attempts` is their maximum."""
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
        print(f"problem of a run: {failure}")


def run_case(case, seed, options, progress):
    print(f"[{progress}] {case.name}, seed {seed} ...", file=sys.stderr, flush=True)
    summary = CaseRun(case, seed, options).run()
    print(format_row(case.name, seed, summary), flush=True)
    for example in summary["examples"][:options.show]:
        print(f"    {example['invariant']} {example['subject']}: {example['detail']}", flush=True)
    return summary


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--case", action="append", help="run only this case; may be repeated")
    parser.add_argument("--seed", type=int, action="append", help="seed; may be repeated (default: 1)")
    parser.add_argument("--list", action="store_true", help="list the cases and exit")
    parser.add_argument("--duration", type=float, default=12, help="seconds of load per case")
    parser.add_argument("--rate", type=float, default=0.5, help="factor applied to the callers' request rates")
    parser.add_argument("--naive", action="store_true",
                        help="run the naive baseline without tickets; it is expected to violate invariants")
    parser.add_argument("--base-port", type=int, default=26000)
    parser.add_argument("--show", type=int, default=5, help="maximum number of violations printed per case")
    parser.add_argument("--out", type=Path, default=ROOT / "out/prove")
    return parser.parse_args()


def list_cases():
    for case in CASES:
        faults = ", ".join(f"{fault.kind} {fault.service} at {fault.start_s} s for {fault.duration_s} s"
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
    print(TABLE_HEADER, flush=True)
    try:
        summaries = [run_case(case, seed, options, f"{number + 1}/{len(chosen)}")
                     for number, (case, seed) in enumerate(chosen)]
    except FleetError as error:
        print(f"prove: {error}", file=sys.stderr)
        return 1
    total = sum_summaries(summaries)
    print(format_row("all", len(options.seed or [1]), total))
    print_summary(total)
    return 0 if all(has_passed(summary) for summary in summaries) else 1


if __name__ == "__main__":
    sys.exit(main())

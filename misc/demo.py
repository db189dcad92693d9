#!/usr/bin/env python3
"""Starts a small two-region fleet on loopback, overloads it, lets it recover and checks the outcomes.

Prints a table of request classes and one line per outcome. Exits with 0 only if every outcome held, apart
from known failures listed in KNOWN-RED.txt.
"""

import argparse
import collections
import json
import re
import statistics
import subprocess
import sys
import time
from dataclasses import dataclass

import fleet
import users
from fleet_process import FleetError, read_json

PRE_OVERLOAD_S = 10
OVERLOAD_S = 8
POST_OVERLOAD_S = 10
# Load as a multiple of the capacity.
NORMAL_FACTOR = 0.5
OVERLOAD_FACTOR = 3.0
# When the presets are activated, in seconds since the start of the load.
PEAK_PRESET_AT_S = 4
ORDINARY_PRESET_AT_S = PRE_OVERLOAD_S + OVERLOAD_S + 5
LATENCY_ROUNDS = 3
LATENCY_ROUND_S = 3

MAX_ADDED_P99_MS = 0.49
MIN_SERVED_SHARE = 0.99
MAX_RECOVERY_S = 2.0
MAX_SWITCH_S = 3.0


@dataclass
class Outcome:
    """A checked property of the run, with the measured figure and the bound that it must meet."""

    text: str
    figure: str
    bound: str
    is_met: bool


def print_progress(text):
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


def measure_added_latency(fleet_under_test):
    """Measures the latency that two nodes add to a direct call; returns the report with the median added p99."""
    service = fleet_under_test.user.probe_service
    target = fleet_under_test.find_instances(service=service)[0]
    caller = fleet_under_test.find_instances(service="stock", zone=target.zone)[0]
    rounds = []
    for round_index in range(LATENCY_ROUNDS):
        report = fleet_under_test.out / f"latency-{round_index}.json"
        subprocess.run([
            fleet_under_test.build / "bench/fuchsiagauge-load", "latency",
            "--direct", target.target_address, "--via", caller.egress,
            "--service", service,
            "--path", f"/{service}", "--rate", "165", "--seconds", str(LATENCY_ROUND_S),
            "--seed", str(round_index + 1), "--report", report,
        ], check=True, stdout=subprocess.DEVNULL)
        rounds.append(json.loads(report.read_text()))
    return sorted(rounds, key=lambda report: report["added_p99_ms"])[len(rounds) // 2]


def measure_preset_switch(fleet_under_test, preset):
    """Activates a preset and returns the seconds until every node's status shows it; infinity on time-out."""
    start = time.monotonic()
    revision = fleet_under_test.activate_preset(preset)
    pending = {instance.name: instance for instance in fleet_under_test.instances}
    while pending and time.monotonic() - start < 4 * MAX_SWITCH_S:
        for name, instance in list(pending.items()):
            try:
                configuration = read_json(instance.admin, "/status", timeout_s=1)["configuration"]
            except (OSError, FleetError):
                continue
            if configuration["revision"] >= revision and configuration["preset"] == preset:
                del pending[name]
    elapsed_s = time.monotonic() - start
    print_progress(f"preset `{preset}` (revision {revision}) is in force on "
                   f"{len(fleet_under_test.instances) - len(pending)}/{len(fleet_under_test.instances)} nodes "
                   f"after {elapsed_s:.2f} s")
    return float("inf") if pending else elapsed_s


def run_load(fleet_under_test):
    """Runs the load and switches the preset twice; returns the load report and the seconds that each switch took."""
    total_s = PRE_OVERLOAD_S + OVERLOAD_S + POST_OVERLOAD_S
    phase = {"from_s": PRE_OVERLOAD_S, "to_s": PRE_OVERLOAD_S + OVERLOAD_S,
             "factor": OVERLOAD_FACTOR / NORMAL_FACTOR}
    load = fleet_under_test.start_load(fleet_under_test.make_experiment(total_s, [phase], rate_factor=NORMAL_FACTOR))
    start = time.monotonic()
    print_progress(f"load: {PRE_OVERLOAD_S} s at {NORMAL_FACTOR}x, {OVERLOAD_S} s at {OVERLOAD_FACTOR}x, "
                   f"{POST_OVERLOAD_S} s at {NORMAL_FACTOR}x")
    switch_durations_s = []
    for switch_at_s, preset in ((PEAK_PRESET_AT_S, "peak"), (ORDINARY_PRESET_AT_S, "ordinary")):
        time.sleep(max(0, start + switch_at_s - time.monotonic()))
        switch_durations_s.append(measure_preset_switch(fleet_under_test, preset))
    if load.wait(total_s + 30) != 0:
        print_progress(f"the load tool found wrong answers; see {load.log}")
    return fleet_under_test.read_report(), switch_durations_s


def read_journal_events(fleet_under_test):
    """Yields the events of all targets' journals; skips a last line that was not written completely."""
    for instance in fleet_under_test.instances:
        path = fleet_under_test.out / f"{instance.name}.journal"
        if not path.exists():
            continue
        with open(path, encoding="utf-8") as lines:
            for line in lines:
                if line.endswith("\n"):
                    yield json.loads(line)


def count_runs(fleet_under_test):
    """Returns the largest number of runs of one order, the number of orders, and the largest number of runs
    of one request at one service and call depth.
    """
    order_runs = collections.Counter()
    request_runs = collections.Counter()
    for event in read_journal_events(fleet_under_test):
        if event["event"] != "run":
            continue
        if event["order"]:
            order_runs[event["order"]] += 1
        if event["context"]:
            request_runs[(event["context"], event["service"], event["depth"])] += 1
    return max(order_runs.values(), default=0), len(order_runs), max(request_runs.values(), default=0)


def read_link_and_retry_totals(fleet_under_test):
    """Returns the bytes sent over the region link, summed by sending region, and the largest number of retries that
    any node counted for one request.
    """
    link_bytes = collections.Counter()
    max_retries = 0
    for instance in fleet_under_test.instances:
        for name, value in fleet_under_test.read_metrics(instance).items():
            if name.startswith("fuchsiagauge_link_bytes_total"):
                link_bytes[instance.region] += value
            if name.startswith("fuchsiagauge_largest_retry_count"):
                max_retries = max(max_retries, int(value))
    return dict(link_bytes), max_retries


def find_phase(group, from_s):
    return next(phase for phase in group["phases"] if phase["from_s"] == from_s)


def print_class_table(groups):
    print(f"\n{'class':12}{'offered/s':>10}{'whole/s':>9}{'share':>7}  |{'at 3x: offered/s':>17}{'whole/s':>9}"
          f"{'share':>7}  |{'after: whole/s':>15}{'p50 ms':>8}{'p99 ms':>8}{'wrong':>7}{'unknown':>9}")
    for group in groups:
        pre_overload, overload, post_overload = (
            find_phase(group, from_s) for from_s in (0, PRE_OVERLOAD_S, PRE_OVERLOAD_S + OVERLOAD_S))
        latency = group["latency_ms"]
        print(f"{group['name']:12}{pre_overload['offered_per_s']:10.1f}{pre_overload['goodput_per_s']:9.1f}"
              f"{pre_overload['served_share']:7.3f}  |{overload['offered_per_s']:17.1f}{overload['goodput_per_s']:9.1f}"
              f"{overload['served_share']:7.3f}  |{post_overload['goodput_per_s']:15.1f}{latency['p50']:8.1f}"
              f"{latency['p99']:8.1f}{group['wrong']:7}{group['unknown']:9}")


def print_nodes(fleet_under_test):
    print(f"\n{'node':26}{'region/zone':20}{'preset':12}{'revision':>9}{'limit':>7}")
    for name, status in fleet_under_test.read_statuses().items():
        if status is None:
            print(f"{name:26}no response")
            continue
        configuration = status["configuration"]
        print(f"{name:26}{status['region'] + '/' + status['zone']:20}{configuration['preset']:12}"
              f"{configuration['revision']:9}{status['target']['limit']:7}")


def evaluate_classes(fleet_under_test, groups):
    """Yields the outcomes of the load: those of each request class, and those of all classes together."""
    lowest_class = min(fleet_under_test.user.classes, key=lambda request_class: request_class.priority).name
    by_name = {group["name"]: group for group in groups}
    for name, group in by_name.items():
        if name == "all":
            continue
        share = find_phase(group, 0)["served_share"]
        yield Outcome(f"{name} is served at {NORMAL_FACTOR}x", f"{share:.3f}", f">= {MIN_SERVED_SHARE}",
                      share >= MIN_SERVED_SHARE)
        if name != lowest_class:
            share = find_phase(group, PRE_OVERLOAD_S)["served_share"]
            yield Outcome(f"{name} is served at {OVERLOAD_FACTOR}x", f"{share:.3f}", f">= {MIN_SERVED_SHARE}",
                          share >= MIN_SERVED_SHARE)
    recovery = by_name["all"]["recovery_s"]
    yield Outcome("goodput recovers after the overload", f"{recovery:.2f} s" if recovery >= 0 else "never",
                  f"<= {MAX_RECOVERY_S} s", 0 <= recovery <= MAX_RECOVERY_S)
    wrong = by_name["all"]["wrong"]
    yield Outcome("no caller gets a wrong or partial answer as whole", str(wrong), "0", wrong == 0)


def evaluate_fleet(fleet_under_test, switch_durations_s, latency, run_counts, link_and_retries):
    """Yields the outcomes of the fleet as a whole."""
    preset = fleet_under_test.document["presets"]["ordinary"]
    max_order_runs, order_count, max_request_runs = run_counts
    link_bytes, max_retries = link_and_retries
    added = latency["added_p99_ms"]
    yield Outcome("added latency, p99", f"{added:.3f} ms (p50 {latency['added_p50_ms']:.3f} ms)",
                  f"<= {MAX_ADDED_P99_MS} ms", added <= MAX_ADDED_P99_MS)
    bound = preset["retries"]["per_request"]
    yield Outcome("largest number of retries for one request", str(max_retries), f"<= {bound}",
                  max_retries <= bound)
    yield Outcome("runs of one request at one service and depth", str(max_request_runs), f"1 to {1 + bound}",
                  1 <= max_request_runs <= 1 + bound)
    yield Outcome(f"runs of one order, of {order_count} orders", str(max_order_runs), "1", max_order_runs == 1)
    budget = preset["link"]["bytes_per_second"] * (PRE_OVERLOAD_S + OVERLOAD_S + POST_OVERLOAD_S)
    for region, count in sorted(link_bytes.items()):
        yield Outcome(f"bytes over the region link from {region}", f"{count:.0f}", f"<= {budget:.0f}",
                      count <= budget)
    slowest_s = max(switch_durations_s)
    yield Outcome("a preset is in force on every node", f"{slowest_s:.2f} s", f"<= {MAX_SWITCH_S} s",
                  slowest_s <= MAX_SWITCH_S)


def read_known_failures():
    """Returns the texts of the outcomes that KNOWN-RED.txt lists, each as `make demo, outcome "TEXT"`."""
    listed = fleet.ROOT / "KNOWN-RED.txt"
    if not listed.exists():
        return set()
    return set(re.findall(r'make demo, outcome "([^"]+)"', listed.read_text()))


def print_outcomes(outcomes, known_failures):
    print(f"\n{'outcome':52}{'figure':>28}{'bound':>18}")
    for outcome in outcomes:
        failure = "known failure" if outcome.text in known_failures else "FAILED"
        verdict = "held" if outcome.is_met else failure
        print(f"{outcome.text:52}{outcome.figure:>28}{outcome.bound:>18}  {verdict}")


def run_demo(options):
    user = users.USERS[options.user]
    fleet_under_test = fleet.Fleet(user, options.out, base_port=options.port, seed=options.seed, journal_all=True)
    with fleet_under_test:
        print_progress(f"{len(fleet_under_test.instances)} nodes and targets of {user.name} run in "
                       f"{len(user.zones)} regions")
        latency = measure_added_latency(fleet_under_test)
        print_progress(f"added latency: p50 {latency['added_p50_ms']:.3f} ms, p99 {latency['added_p99_ms']:.3f} ms")
        report, switch_durations_s = run_load(fleet_under_test)
        link_and_retries = read_link_and_retry_totals(fleet_under_test)
        print_class_table(report["groups"])
        print_nodes(fleet_under_test)
    outcomes = list(evaluate_classes(fleet_under_test, report["groups"]))
    outcomes += evaluate_fleet(fleet_under_test, switch_durations_s, latency, count_runs(fleet_under_test),
                               link_and_retries)
    statuses = fleet_under_test.exit_statuses
    failed_nodes = sorted(name for name, status in statuses.items() if name.startswith("node ") and status != 0)
    outcomes.append(Outcome("nodes stop of themselves when asked", f"{len(failed_nodes)} did not", "0",
                            not failed_nodes))
    known_failures = read_known_failures()
    print_outcomes(outcomes, known_failures)
    return 0 if all(outcome.is_met or outcome.text in known_failures for outcome in outcomes) else 1


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--user", choices=sorted(users.USERS), default="vysivka")
    parser.add_argument("--out", default=str(fleet.ROOT / "out" / "demo"))
    parser.add_argument("--port", type=int, default=23000, help="first port on loopback")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    try:
        status = run_demo(options)
    except FleetError as error:
        print(f"demo: {error}", file=sys.stderr)
        status = 1
    print("\nevery outcome held or is a known failure" if status == 0
          else f"\nnot every outcome held; logs are in {options.out}")
    return status


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Generates the tables and plots of docs/BENCH.md from the result files of misc/bench.py.

The goodput plot also needs the load reports that misc/bench.py wrote below `out/bench`.
"""

import argparse
import json
import statistics
import subprocess
from pathlib import Path

import bench
import fleet
import plot
import users

MIN_GOODPUT_SHARE = 0.95
MIN_SERVED_SHARE = 0.99
MAX_WASTED_SHARE = 0.05
MAX_RECOVERY_S = 2
SURGE_SCENARIOS = ("2x", "5x", "10x")
PLOT_WINDOW = 4


def read_results(folder):
    """Reads the runs of all result files into a dict by (user, scenario, variant)."""
    results = {}
    for path in sorted(folder.glob("*.json")):
        record = json.loads(path.read_text())
        user = path.name.partition("-")[0]
        for entry in record["runs"]:
            results.setdefault((user, entry["scenario"], entry["variant"]), []).extend(entry["runs"])
    return results


def format_median(values):
    """The median of the values, followed by their range."""
    spread = f" ({min(values):.3f}..{max(values):.3f})" if len(values) > 1 else ""
    return f"{statistics.median(values):.3f}{spread}"


def format_verdict(is_met):
    return "held" if is_met else "FAILED"


def find_shortest_deadline_class(user):
    """The request class with the shortest deadline: `status` for Vysivka, `tracker` for Cutworks."""
    return min(users.USERS[user].classes, key=lambda request_class: request_class.deadline_ms)


def get_important_shares(run):
    """Served shares of the important classes, which are all but the catalogue."""
    return {name: share for name, share in run["served_share"].items() if name != "catalogue"}


def compare_with_targets(results, user, scenario):
    """Compares `ours` with the performance targets; returns rows of target, worst run and verdict."""
    runs = results[user, scenario, "ours"]
    rows = []
    baseline_goodputs = [run["goodput_under_pressure"] for run in results.get((user, "1x", "ours"), [])]
    if baseline_goodputs and scenario in SURGE_SCENARIOS:
        worst = min(run["goodput_under_pressure"] for run in runs) / max(baseline_goodputs)
        rows.append((f"goodput >= {MIN_GOODPUT_SHARE} of the best at 1x", f"{worst:.3f}", worst >= MIN_GOODPUT_SHARE))
    name, worst = min(((name, share) for run in runs for name, share in get_important_shares(run).items()),
                      key=lambda name_and_share: name_and_share[1])
    rows.append((f"important classes served >= {MIN_SERVED_SHARE}", f"{worst:.3f} ({name})",
                 worst >= MIN_SERVED_SHARE))
    strictest_class = find_shortest_deadline_class(user)
    worst = max(run["p99_ms"][strictest_class.name] for run in runs)
    rows.append((f"{strictest_class.name} p99 <= {strictest_class.deadline_ms} ms", f"{worst:.0f}",
                 worst <= strictest_class.deadline_ms))
    worst = max(run["wasted_share"] for run in runs)
    rows.append((f"wasted work <= {MAX_WASTED_SHARE}", f"{worst:.3f}", worst <= MAX_WASTED_SHARE))
    recoveries = [run["recovery_s"] for run in runs]
    has_unrecovered_run = None in recoveries
    worst = "not within the run" if has_unrecovered_run else f"{max(recoveries):.2f}"
    rows.append((f"recovery <= {MAX_RECOVERY_S} s", worst,
                 not has_unrecovered_run and max(recoveries) <= MAX_RECOVERY_S))
    return [(target, figure, format_verdict(is_met)) for target, figure, is_met in rows]


def print_figures(results):
    """Prints the median and range for every scenario and variant, apart from `-MECHANISM`."""
    print("| user | scenario | variant | runs | goodput before /s | under pressure /s | recovery s | wasted share "
          "| least important class served | catalogue served | machine's load |")
    print("|---|---|---|---|---|---|---|---|---|---|---|")
    for (user, scenario, variant), runs in results.items():
        if variant.startswith("-"):
            continue
        least = format_median([min(get_important_shares(run).values()) for run in runs])
        catalogue = format_median([run["served_share"]["catalogue"] for run in runs])
        loads = [run["load_average"] for run in runs if "load_average" in run]
        load = f"{min(loads):.0f}..{max(loads):.0f}" if loads else "not recorded"
        print(f"| {user} | {scenario} | {variant} | {len(runs)} "
              f"| {bench.format_median_of_runs(runs, 'goodput_before')} "
              f"| {bench.format_median_of_runs(runs, 'goodput_under_pressure')} "
              f"| {bench.format_median_of_runs(runs, 'recovery_s')} "
              f"| {format_median([run['wasted_share'] for run in runs])} | {least} | {catalogue} | {load} |")


def print_targets(results):
    """Prints the worst run of `ours` next to each performance target."""
    print("\n| user | scenario | target | worst run of ours | |")
    print("|---|---|---|---|---|")
    for user, scenario, variant in results:
        if variant != "ours":
            continue
        for target, figure, verdict in compare_with_targets(results, user, scenario):
            print(f"| {user} | {scenario} | {target} | {figure} | {verdict} |")


def print_mechanisms(results):
    """Prints each `-MECHANISM` variant next to `ours` with the same seeds."""
    print("\n| user | scenario | variant | goodput under pressure /s | recovery s | wasted share "
          "| least important class served |")
    print("|---|---|---|---|---|---|---|")
    for user, scenario in dict.fromkeys(key[:2] for key in results if key[2].startswith("-")):
        variants = [key for key in results if key[:2] == (user, scenario) and key[2] != "naive"]
        seeds = {run["seed"] for key in variants if key[2] != "ours" for run in results[key]}
        for key in sorted(variants, key=lambda key: key[2] != "ours"):
            runs = [run for run in results[key] if run["seed"] in seeds]
            least = format_median([min(get_important_shares(run).values()) for run in runs])
            print(f"| {user} | {scenario} | {key[2]} "
                  f"| {bench.format_median_of_runs(runs, 'goodput_under_pressure')} "
                  f"| {bench.format_median_of_runs(runs, 'recovery_s')} "
                  f"| {bench.format_median_of_runs(runs, 'wasted_share')} | {least} |")


def read_total_goodput(folder):
    """Sums the timelines of both loads of one run into one group, in the format of a load report."""
    groups = []
    for name in bench.LOAD_NAMES:
        report = json.loads((folder / f"{name}.report.json").read_text())
        groups += [group for group in report["groups"] if group["name"] != "all"]
    timelines = {
        key: [sum(counts) for counts in zip(*(group[key] for group in groups))]
        for key in ("goodput_timeline", "offered_timeline")
    }
    return {"name": "total", "slot_s": groups[0]["slot_s"], **timelines}


def run_gnuplot(image, lines):
    script = image.with_suffix(".gnuplot")
    script.write_text("\n".join(lines) + "\n")
    subprocess.run(["gnuplot", str(script)], check=True)


def plot_goodput(plot_folder, user, scenario, seed):
    runs = []
    for variant in ("naive", "ours"):
        folder = fleet.ROOT / "out" / "bench" / f"{user}-{scenario}-{variant}-{seed}"
        runs.append((variant, {"groups": [read_total_goodput(folder)]}))
    image = plot_folder / "goodput.png"
    title = f"Goodput of all classes, {user}, {scenario}, seed {seed}"
    run_gnuplot(image, plot.make_goodput_script(image, title, runs, "total", PLOT_WINDOW))


def plot_recovery(plot_folder, results, user):
    """Plots the recovery time of every run; a run that did not recover is drawn at POST_STRESS_S."""
    image = plot_folder / "recovery.png"
    lines = plot.make_header(image, f"Recovery after the stress, {user}, each run")
    scenarios = list(dict.fromkeys(key[1] for key in results if key[0] == user))
    for variant, shift in (("naive", -0.1), ("ours", 0.1)):
        rows = []
        for position, scenario in enumerate(scenarios):
            for run in results.get((user, scenario, variant), []):
                recovery = run["recovery_s"]
                rows.append((position + shift, bench.POST_STRESS_S if recovery is None else recovery))
        lines += plot.make_data_block(variant, rows)
    ticks = ", ".join(f"{plot.quote(name)} {position}" for position, name in enumerate(scenarios))
    lines += [
        f"set ylabel 'seconds; {bench.POST_STRESS_S}: not within the run'",
        f"set yrange [-0.3:{bench.POST_STRESS_S + 0.5}]",
        f"set xrange [-0.5:{len(scenarios) - 0.5}]", f"set xtics ({ticks}) rotate by -20",
        "plot $naive with points pointtype 7 pointsize 1.5 title 'naive', "
        "$ours with points pointtype 5 pointsize 1.5 title 'ours', "
        f"{MAX_RECOVERY_S} with lines dashtype 2 linecolor 'gray' title 'target'",
    ]
    run_gnuplot(image, lines)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--results", type=Path, default=fleet.ROOT / "bench" / "results",
                        help="directory with the result files")
    parser.add_argument("--figures", type=Path, help="directory for the plots; no plots if omitted")
    parser.add_argument("--user", choices=sorted(users.USERS), default="vysivka", help="user whose runs are plotted")
    parser.add_argument("--scenario", default="5x", help="scenario of the goodput plot")
    parser.add_argument("--seed", default="1", help="seed of the goodput plot")
    options = parser.parse_args()
    results = read_results(options.results)
    print_figures(results)
    print_targets(results)
    print_mechanisms(results)
    if options.figures:
        options.figures.mkdir(parents=True, exist_ok=True)
        plot_goodput(options.figures, options.user, options.scenario, options.seed)
        plot_recovery(options.figures, results, options.user)


if __name__ == "__main__":
    main()

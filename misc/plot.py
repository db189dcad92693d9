#!/usr/bin/env python3
"""Plots goodput over time or recovery times from load reports with gnuplot.

The gnuplot script is written next to the image.
"""

import argparse
import json
import subprocess
import sys
from pathlib import Path

IMAGE_SIZE = "1000,500"


def read_group(report, name):
    for group in report["groups"]:
        if group["name"] == name:
            return group
    raise SystemExit(f"plot: the report has no group `{name}`")


def read_runs(arguments):
    """Reads the reports of `LABEL=FILE` arguments; returns (label, report) pairs."""
    runs = []
    for argument in arguments:
        label, separator, path = argument.partition("=")
        if not separator:
            raise SystemExit(f"plot: expected LABEL=FILE, got `{argument}`")
        try:
            runs.append((label, json.loads(Path(path).read_text())))
        except (OSError, ValueError) as error:
            raise SystemExit(f"plot: cannot read {path}: {error}") from error
    return runs


def quote(text):
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def make_header(image, title):
    return [
        f"set terminal pngcairo size {IMAGE_SIZE}", f"set output {quote(str(image))}", f"set title {quote(title)}",
        "set grid", "set key outside",
    ]


def make_data_block(name, rows):
    return [f"${name} << EOD", *(" ".join(str(value) for value in row) for row in rows), "EOD"]


def make_series(group, key, window):
    """Events per second over time, as a moving average over `window` slots."""
    slot_s = group["slot_s"]
    counts = group[key]
    rows = []
    for index in range(window - 1, len(counts)):
        total = sum(counts[index - window + 1:index + 1])
        rows.append((round((index + 1) * slot_s, 3), round(total / (window * slot_s), 2)))
    return rows


def make_goodput_script(image, title, runs, group_name, window):
    """Script for one goodput curve per run and the offered load of the first run."""
    lines = make_header(image, title)
    lines += ["set xlabel 'seconds'", "set ylabel 'requests per second'", "set yrange [0:*]"]
    offered = read_group(runs[0][1], group_name)
    lines += make_data_block("offered", make_series(offered, "offered_timeline", window))
    curves = ["$offered with lines dashtype 2 linecolor 'gray' title 'offered'"]
    for number, (label, report) in enumerate(runs):
        series = make_series(read_group(report, group_name), "goodput_timeline", window)
        lines += make_data_block(f"run{number}", series)
        curves.append(f"$run{number} with lines linewidth 2 title {quote(label)}")
    return lines + ["plot " + ", ".join(curves)]


def make_recovery_script(image, title, runs, group_name):
    """Script for one bar per run; a run that never recovered shows the time to its end, marked `(never)`."""
    lines = make_header(image, title)
    rows = []
    for number, (label, report) in enumerate(runs):
        recovery = read_group(report, group_name)["recovery_s"]
        if recovery < 0:
            label += " (never)"
            last_phase_s = max((phase["from_s"] for phase in report["groups"][0]["phases"]), default=0)
            recovery = report["duration_s"] - last_phase_s
        rows.append((number, recovery, quote(label)))
    lines += make_data_block("bars", rows)
    lines += ["set ylabel 'seconds to 0.95 of the earlier goodput'", "set style fill solid 0.6",
              "set boxwidth 0.5", f"set xrange [-0.7:{len(rows) - 0.3}]",
              f"set yrange [0:{max(row[1] for row in rows) * 1.2 + 0.1}]", "unset key",
              "plot $bars using 1:2:xtic(3) with boxes, '' using 1:2:2 with labels offset 0,0.7"]
    return lines


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=("goodput", "recovery"))
    parser.add_argument("--out", required=True,
                        help="PNG file to write; the script has the same name with the suffix .gnuplot")
    parser.add_argument("--title", default="")
    parser.add_argument("--group", default="all", help="caller group")
    parser.add_argument("--window", type=int, default=4, help="number of 0.25 s slots in the moving average")
    parser.add_argument("runs", nargs="+", metavar="LABEL=REPORT")
    options = parser.parse_args()
    image = Path(options.out)
    image.parent.mkdir(parents=True, exist_ok=True)
    runs = read_runs(options.runs)
    title = options.title or f"{options.kind} of {options.group}"
    if options.kind == "goodput":
        lines = make_goodput_script(image, title, runs, options.group, max(1, options.window))
    else:
        lines = make_recovery_script(image, title, runs, options.group)
    script = image.with_suffix(".gnuplot")
    script.write_text("\n".join(lines) + "\n")
    return subprocess.run(["gnuplot", str(script)], check=False).returncode


if __name__ == "__main__":
    sys.exit(main())

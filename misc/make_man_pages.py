#!/usr/bin/env python3
"""Makes the man pages in docs/man from the programs' own --help.

Usage: misc/make_man_pages.py BUILD_DIR [--check]
With --check, writes nothing and fails when a committed page is not current.
"""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGES = [
    ("fuchsiagauge", 1, "client/fuchsiagauge"),
    ("fuchsiagauged", 8, "main/fuchsiagauged"),
]


def read_help(program, arguments=()):
    command = [str(program), *arguments, "--help"]
    return subprocess.run(command, check=True, capture_output=True, text=True, timeout=20).stdout


def find_commands(help_text):
    """Names of the subcommands in a help text of CLI11."""
    _, _, listing = help_text.partition("Subcommands:\n")
    names = []
    for line in listing.splitlines():
        if not line.startswith("  "):
            break
        if line[2] != " ":
            names.append(line.split()[0])
    return names


def escape_roff(text):
    lines = []
    for line in text.rstrip().splitlines():
        line = line.replace("\\", "\\e").replace("-", "\\-")
        lines.append("\\&" + line if line[:1] in (".", "'") else line)
    return "\n".join(lines)


def read_version(build):
    line = subprocess.run([str(build / "client/fuchsiagauge"), "--version"], check=True,
                          capture_output=True, text=True, timeout=20).stdout
    return line.split()[-1]


def format_page(name, section, program, version):
    text = read_help(program)
    title, _, rest = text.partition("\n")
    summary = title.partition(": ")[2] or title
    sections = [f'.TH {name.upper()} {section} "" "fuchsiagauge {version}"',
                f".SH NAME\n{name} \\- {escape_roff(summary)}",
                f".SH SYNOPSIS\n.nf\n{escape_roff(rest)}\n.fi"]
    for command in find_commands(text):
        sections.append(f".SH {command.upper()}\n.nf\n{escape_roff(read_help(program, [command]))}\n.fi")
    sections.append(".SH SEE ALSO\ndocs/OPERATORS.md and docs/SETTINGS.md in the source tree.")
    return "\n".join(sections) + "\n"


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    is_check_only = "--check" in sys.argv[2:]
    version = read_version(build)
    outdated_pages = []
    for name, section, path in PAGES:
        page = ROOT / "docs" / "man" / f"{name}.{section}"
        text = format_page(name, section, build / path, version)
        if is_check_only and (not page.exists() or page.read_text() != text):
            outdated_pages.append(str(page.relative_to(ROOT)))
        if not is_check_only:
            page.parent.mkdir(parents=True, exist_ok=True)
            page.write_text(text)
    if outdated_pages:
        sys.exit("not current, run `make docs`: " + ", ".join(outdated_pages))


if __name__ == "__main__":
    main()

"""Runs pytest without the tests that KNOWN-RED.txt lists, and prints their entries.

An entry is one line: the test's node id, then the command and seed, the
observed failure and the issue, separated by ` | `.
"""

import os
from pathlib import Path

import click
import pytest

_KNOWN_RED_FILE = Path("KNOWN-RED.txt")
# Leaves processors to the processes that tests start.
_PROCESSORS_PER_TEST_PROCESS = 1.4


def run_tests(arguments: tuple[str, ...]) -> int:
    """Run the tests in several processes and return pytest's exit code."""
    entries = _read_entries(_KNOWN_RED_FILE)
    for entry in entries:
        click.echo(f"KNOWN-RED {entry}")
    if not entries:
        click.echo("KNOWN-RED: none")
    deselected = [f"--deselect={entry.split(' | ')[0]}" for entry in entries]
    processes = max(1, int((os.cpu_count() or 1) / _PROCESSORS_PER_TEST_PROCESS))
    spread = [f"--numprocesses={processes}", "--dist=worksteal"]
    return int(pytest.main([*deselected, *spread, *arguments]))


def _read_entries(path: Path) -> list[str]:
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    return [line for line in lines if line.strip() and not line.startswith("#")]

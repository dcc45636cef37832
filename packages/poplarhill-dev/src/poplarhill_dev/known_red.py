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
_PASSED = (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED)


def run_tests(arguments: tuple[str, ...]) -> int:
    """Run the tests and return pytest's exit code.

    The tests marked as serial follow the others, which run in several processes.
    """
    entries = _read_entries(_KNOWN_RED_FILE)
    for entry in entries:
        click.echo(f"KNOWN-RED {entry}")
    if not entries:
        click.echo("KNOWN-RED: none")
    deselected = [f"--deselect={entry.split(' | ')[0]}" for entry in entries]
    processes = max(1, int((os.cpu_count() or 1) / _PROCESSORS_PER_TEST_PROCESS))
    spread = [f"--numprocesses={processes}", "--dist=worksteal"]
    common = [*deselected, *arguments]
    codes = [
        pytest.main([*common, *spread, "-m", "not serial"]),
        pytest.main([*common, "-m", "serial"]),
    ]
    failed = (code for code in codes if code not in _PASSED)
    return int(next(failed, min(codes)))


def _read_entries(path: Path) -> list[str]:
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    return [line for line in lines if line.strip() and not line.startswith("#")]

"""Runs pytest, passing over the tests that KNOWN-RED.txt lists, and prints them.

An entry is one line: the test's node id, then the command and seed, what was
seen, and the issue, separated by ` | `.
"""

from pathlib import Path

import click
import pytest

_LIST = Path("KNOWN-RED.txt")


def run_tests(arguments: tuple[str, ...]) -> int:
    """Run the tests and return pytest's exit code."""
    entries = _entries(_LIST)
    for entry in entries:
        click.echo(f"KNOWN-RED {entry}")
    if not entries:
        click.echo("KNOWN-RED: none")
    deselected = [f"--deselect={entry.split(' | ')[0]}" for entry in entries]
    return int(pytest.main([*deselected, *arguments]))


def _entries(path: Path) -> list[str]:
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    return [line for line in lines if line.strip() and not line.startswith("#")]

"""Switches guards off, one at a time on a copy, to see that a test goes red."""

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

import click
import msgspec

_PACKAGES = Path("packages")
_TIMEOUT_S = 300.0


class Mutation(msgspec.Struct, forbid_unknown_fields=True):
    """One guard and how it is switched off.

    Attributes:
        guard: What it guards.
        file: File below the packages' directory.
        old: Text that stands there once.
        new: Text in its place.
        tests: Test files or directories, below the packages' directory.
    """

    guard: str
    file: str
    old: str
    new: str
    tests: list[str]


def run_mutations(path: Path, only: str) -> int:
    """Run every mutation of a file whose guard's name contains `only`.

    Returns:
        Count of mutations that no test noticed.
    """
    mutations = msgspec.json.decode(path.read_bytes(), type=list[Mutation])
    unnoticed = 0
    for mutation in mutations:
        if only not in mutation.guard:
            continue
        red = _red_tests(mutation)
        unnoticed += not red
        click.echo(f"{mutation.guard}: {'red' if red else 'NOT NOTICED'}")
        for line in red:
            click.echo(f"  {line}")
    return unnoticed


def _red_tests(mutation: Mutation) -> list[str]:
    with tempfile.TemporaryDirectory(prefix="poplarhill-mutation-") as name:
        copy = Path(name) / "packages"
        shutil.copytree(_PACKAGES, copy)
        _apply(copy / mutation.file, mutation)
        return _run_tests(copy, mutation.tests)


def _apply(path: Path, mutation: Mutation) -> None:
    text = path.read_text(encoding="utf-8")
    if text.count(mutation.old) != 1:
        raise click.ClickException(f"{mutation.guard}: {mutation.file} has changed")
    path.write_text(text.replace(mutation.old, mutation.new), encoding="utf-8")


def _run_tests(copy: Path, tests: list[str]) -> list[str]:
    """Return the lines of the tests that fail."""
    sources = os.pathsep.join(str(source) for source in copy.glob("*/src"))
    command = [sys.executable, "-m", "pytest", "-q", "--tb=no", "-rfE"]
    command += ["--import-mode=importlib", "-p", "no:cacheprovider"]
    result = subprocess.run(
        [*command, *(str(copy / test) for test in tests)],
        cwd=copy.parent,
        env={**os.environ, "PYTHONPATH": sources},
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
    )
    lines = result.stdout.splitlines()
    return [line for line in lines if line.startswith(("FAILED", "ERROR"))]

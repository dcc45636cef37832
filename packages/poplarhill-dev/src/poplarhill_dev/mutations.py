"""Disables guards, one at a time in a copy of the code, to see whether a test fails."""

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
    """A guard and the change that disables it.

    Attributes:
        guard: What it guards against.
        file: File, relative to the packages' directory.
        old: Text that occurs exactly once in the file.
        new: Its replacement.
        tests: Tests, test files or directories, relative to the packages' directory.
    """

    guard: str
    file: str
    old: str
    new: str
    tests: list[str]


def run_mutations(path: Path, only: str) -> int:
    """Run the mutations of a file whose guard's name contains `only`.

    Returns:
        Count of mutations that no test detected.
    """
    mutations = msgspec.json.decode(path.read_bytes(), type=list[Mutation])
    undetected = 0
    for mutation in mutations:
        if only not in mutation.guard:
            continue
        failing = _failing_tests(mutation)
        undetected += not failing
        click.echo(f"{mutation.guard}: {'detected' if failing else 'NOT DETECTED'}")
        for line in failing:
            click.echo(f"  {line}")
    return undetected


def _failing_tests(mutation: Mutation) -> list[str]:
    with tempfile.TemporaryDirectory(prefix="poplarhill-mutation-") as name:
        copy = Path(name) / "packages"
        shutil.copytree(_PACKAGES, copy)
        _apply(copy / mutation.file, mutation)
        return _run_tests(copy, mutation.tests)


def _apply(path: Path, mutation: Mutation) -> None:
    text = path.read_text(encoding="utf-8")
    if text.count(mutation.old) != 1:
        raise click.ClickException(
            f"{mutation.guard}: {mutation.file} does not hold the old text exactly once"
        )
    path.write_text(text.replace(mutation.old, mutation.new), encoding="utf-8")


def _run_tests(copy: Path, tests: list[str]) -> list[str]:
    """Return pytest's summary lines of the tests that fail."""
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

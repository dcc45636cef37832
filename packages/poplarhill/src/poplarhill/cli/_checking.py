"""Helpers of the commands that check a configuration."""

import json
import sys
from pathlib import Path
from typing import Any

import click

from poplarhill.cli._support import bad_request
from poplarhill.configuration.check import (
    Finding,
    InForce,
    Severity,
    Source,
    UnreadableError,
    check_source,
    count,
    read_file,
)

WARNINGS_CODE = 1
ERRORS_CODE = 2
_COLOURS = {
    Severity.ERROR: "red",
    Severity.WARNING: "yellow",
    Severity.DIFFERENCE: "cyan",
}


def read_other(path: Path) -> Source:
    """Read the file that another one is compared with.

    Raises:
        PoplarhillError: It cannot be read.
    """
    try:
        source = read_file(path)
    except UnreadableError as unreadable:
        raise _unreadable(path, unreadable) from unreadable
    if source.findings:
        raise bad_request(f"{path}: {source.findings[0].message}")
    return source


def read_checked(
    path: Path, report_unopened: bool = False
) -> tuple[Source | None, list[Finding]]:
    """Read the file to check; without a source, the findings say why not.

    Args:
        path: The file.
        report_unopened: Whether a file that cannot be opened is a finding as well.

    Raises:
        PoplarhillError: The file cannot be opened.
    """
    try:
        return read_file(path), []
    except UnreadableError as unreadable:
        if not unreadable.opened and not report_unopened:
            raise _unreadable(path, unreadable) from unreadable
        return None, [unreadable.finding]


def require_publishable(path: Path, force: bool) -> Source:
    """Check a file before it is published, and print what speaks against it.

    Raises:
        PoplarhillError: It has errors, or it has warnings and `force` is not set.
    """
    source, findings = read_checked(path)
    if source is not None:
        findings = check_source(source, None)
    print_findings(path, findings, err=True)
    if source is None or count(findings, Severity.ERROR):
        raise bad_request(f"{path} has errors, so it is not published")
    warnings = count(findings, Severity.WARNING)
    if warnings and not force:
        detail = f"{path} has {_number(warnings, 'warning')}, so it is not published"
        raise bad_request(f"{detail}: correct it, or use --force and say why in --note")
    return source


def report(path: Path, findings: list[Finding], as_json: bool, summary: str) -> None:
    """Print the findings of a file and exit with the code for the worst.

    Args:
        path: The file.
        findings: Its findings.
        as_json: Whether to print them as one JSON object.
        summary: The document in a few words, if it has no errors.
    """
    errors = count(findings, Severity.ERROR)
    warnings = count(findings, Severity.WARNING)
    if as_json:
        click.echo(json.dumps(_report_body(path, findings), indent=2))
    else:
        print_findings(path, findings)
        if errors or warnings:
            counts = f"{_number(errors, 'error')}, {_number(warnings, 'warning')}"
            click.echo(f"{path}: {counts}")
        else:
            click.echo(f"{path}: good, {summary}")
    if errors or warnings:
        sys.exit(ERRORS_CODE if errors else WARNINGS_CODE)


def print_findings(path: Path, findings: list[Finding], err: bool = False) -> None:
    """Print each finding as one line."""
    for finding in findings:
        where = path if finding.line is None else f"{path}:{finding.line}"
        severity = click.style(finding.severity.value, fg=_COLOURS[finding.severity])
        click.echo(
            f"{where}: {severity}: {finding.pointer}: {finding.message}", err=err
        )


def in_force_from(path: Path) -> InForce:
    """Return the content of a file as what is in force."""
    return InForce(read_other(path).document)


def _report_body(path: Path, findings: list[Finding]) -> dict[str, Any]:
    body: dict[str, Any] = {"file": str(path)}
    for severity in Severity:
        body[f"{severity.value}s"] = count(findings, severity)
    body["findings"] = [_finding_body(finding) for finding in findings]
    return body


def _finding_body(finding: Finding) -> dict[str, Any]:
    body: dict[str, Any] = {
        "severity": finding.severity.value,
        "path": finding.pointer,
        "line": finding.line,
        "message": finding.message,
    }
    if finding.difference is not None:
        body.update(finding.difference._asdict())
    return body


def _number(count_of: int, noun: str) -> str:
    return f"{count_of} {noun}" if count_of == 1 else f"{count_of} {noun}s"


def _unreadable(path: Path, unreadable: UnreadableError) -> Exception:
    return bad_request(f"{path}: {unreadable.finding.message}")

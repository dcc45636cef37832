"""Checks a configuration file as a whole."""

from poplarhill.configuration.check.findings import Finding, Severity, error
from poplarhill.configuration.check.formats import Format, InForce, find_format
from poplarhill.configuration.check.source import Source

_SEVERITIES = list(Severity)


def check_source(source: Source, in_force: InForce | None = None) -> list[Finding]:
    """Return what is wrong with a configuration and what it would change.

    Errors come first, then warnings, then differences, each by line. Warnings and
    differences are found only in a document without errors.

    Args:
        source: The configuration, as it was read.
        in_force: What to compare with, in the same format.
    """
    form = find_format(source.document)
    findings = [*source.findings, *form.errors(source.document)]
    if not findings:
        workers = in_force.workers if in_force else None
        findings = form.warnings(source.document, workers)
        if in_force is not None:
            findings += _compare(form, in_force, source)
    located = [source.locate(finding) for finding in findings]
    return sorted(located, key=_order)


def has_errors(findings: list[Finding]) -> bool:
    """Return whether any of the findings is an error."""
    return any(finding.severity is Severity.ERROR for finding in findings)


def _order(finding: Finding) -> tuple[int, int]:
    return _SEVERITIES.index(finding.severity), finding.line or 0


def _compare(form: Format, in_force: InForce, source: Source) -> list[Finding]:
    other = find_format(in_force.document) if in_force.document else form
    if other is not form:
        message = (
            f"the file is in the format {form.name!r}, but what it is compared with"
        )
        message += f" is in {other.name!r}; compare files of one format"
        return [error((), message)]
    if form.errors(in_force.document) and in_force.document:
        message = "what the file is compared with has errors; check it first"
        return [error((), message)]
    return form.differences(in_force.document, source.document)

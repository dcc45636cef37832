"""Errors of a document against its JSON schema, with what to do about each."""

from collections.abc import Iterator
from difflib import get_close_matches
from typing import Any

import jsonschema

from poplarhill.configuration.check.findings import Finding, Path, error
from poplarhill.configuration.check.source import describe

_TYPES = {
    "object": "an object { }",
    "array": "a list [ ]",
    "string": "a text in double quotes",
    "integer": "a whole number without quotes",
    "number": "a number without quotes",
    "boolean": "true or false without quotes",
}
_BOUNDS = {
    "minimum": "at least",
    "maximum": "at most",
    "exclusiveMinimum": "more than",
    "exclusiveMaximum": "less than",
}
_PATTERNS = {
    "^[A-Za-z0-9._-]{1,64}$": (
        "use 1 to 64 letters, digits, dots, underscores and hyphens"
    ),
    r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$": "write an IPv4 address such as 10.0.0.1",
    r"\S": "state the reason in words",
}


def schema_errors(document: Any, schema: dict[str, Any]) -> list[Finding]:
    """Return every error of a document against a schema, by path."""
    validator = jsonschema.Draft202012Validator(schema)
    found = [f for e in validator.iter_errors(document) for f in _findings(e)]
    return sorted(found, key=lambda finding: [str(part) for part in finding.path])


def _findings(problem: jsonschema.ValidationError) -> Iterator[Finding]:
    path: Path = tuple(problem.absolute_path)
    value, limit = problem.instance, problem.validator_value
    match problem.validator:
        case "additionalProperties":
            known = sorted(problem.schema.get("properties", {}))
            for name in value:
                if name not in known:
                    yield unknown_key((*path, name), known)
        case "required":
            missing = problem.message.split("'")[1]
            yield error(path, f"the key {missing!r} is missing; add it")
        case "type":
            message = f"this is {describe(value)}; write {_TYPES.get(limit, limit)}"
            yield error(path, message)
        case "enum":
            close = _suggest(value, limit) if isinstance(value, str) else ""
            names = ", ".join(str(name) for name in limit)
            yield error(
                path, f"{describe(value)} is no choice here;{close} use {names}"
            )
        case "pattern":
            advice = _PATTERNS.get(limit, f"write a text that matches {limit}")
            if not _is_name(problem):
                yield error(path, f"{describe(value)} is not valid; {advice}")
            else:
                yield error((*path, value), f"this name is not valid; {advice}")
        case keyword if keyword in _BOUNDS:
            message = f"{describe(value)} is out of range; write a number that is"
            yield error(path, f"{message} {_BOUNDS[keyword]} {limit}")
        case _:
            yield error(path, f"{problem.message}; correct the value")


def unknown_key(path: Path, known: list[str]) -> Finding:
    """Return the error for a key that an object may not have."""
    what = f"the key {path[-1]!r} is unknown;"
    if close := _suggest(str(path[-1]), known):
        return error(path, f"{what}{close} correct or remove it")
    return error(path, f"{what} remove it or use one of {', '.join(known)}")


def _suggest(name: str, known: list[str]) -> str:
    close = get_close_matches(name, known, 1)
    return f" did you mean {close[0]!r}?" if close else ""


def _is_name(problem: jsonschema.ValidationError) -> bool:
    """Return whether the invalid text is a key, not a value."""
    return "propertyNames" in problem.absolute_schema_path

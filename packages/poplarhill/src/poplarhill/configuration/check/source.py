"""Reads a JSON file and keeps the position of each value."""

import json
import json.decoder
import json.scanner
import re
from bisect import bisect_right
from collections.abc import Callable
from pathlib import Path as FilePath
from typing import Any, NamedTuple

from poplarhill.configuration.check.findings import Finding, Path, Severity, error

# Five times the document of 21,000 workers, which has about 3 MB.
SIZE_LIMIT_BYTES = 16 << 20
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_DIGITS_LIMIT = 4300  # Python converts no longer integer
_EXCERPT_CHARACTERS = 40
_Scan = Callable[[str, int], tuple[Any, int]]


class UnreadableError(Exception):
    """A file cannot be read as a JSON document.

    Args:
        finding: The reason, for the operator.
        opened: Whether the file could be opened.
    """

    def __init__(self, finding: Finding, opened: bool = True) -> None:
        super().__init__(finding.message)
        self.finding = finding
        self.opened = opened


class _InvalidNumberError(ValueError):
    """The text of a number that has no place in a document."""


class Source(NamedTuple):
    """A JSON document with the positions of its values.

    Attributes:
        document: The decoded document, an object.
        text: The text of the file.
        offsets: Offset of each value in the text, by the identity of the object or
            array that holds it and by its key or index.
        newlines: Offsets of the ends of lines.
        findings: Errors in the text that decoding does not show, such as duplicate
            keys.
        containers: The objects and arrays, which keeps their identities in use.
    """

    document: dict[str, Any]
    text: str
    offsets: dict[int, dict[str | int, int]]
    newlines: list[int]
    findings: tuple[Finding, ...]
    containers: list[Any]

    def line(self, path: Path) -> int:
        """Return the line of the value at a path or of its nearest container."""
        value: Any = self.document
        offset = self.text.find("{")
        for part in path:
            known = self.offsets.get(id(value), {})
            if part not in known:
                break
            offset = known[part]
            value = value[part]
        return bisect_right(self.newlines, offset - 1) + 1

    def locate(self, finding: Finding) -> Finding:
        """Return a finding with its line."""
        if finding.line is not None:
            return finding
        return finding._replace(line=self.line(finding.path))


class _Decoder(json.JSONDecoder):
    """Decodes as `json` does and keeps the offsets of values."""

    def __init__(self) -> None:
        super().__init__(parse_constant=_refuse, parse_int=_integer, parse_float=_real)
        self.offsets: dict[int, dict[str | int, int]] = {}
        self.containers: list[Any] = []
        self.duplicates: list[tuple[dict[str, Any], str, int]] = []
        self.last_start = 0
        self.parse_object = self._object
        self.parse_array = self._array
        self.scan_once = json.scanner.py_make_scanner(self)

    def _object(
        self,
        position: tuple[str, int],
        strict: bool,
        scan: _Scan,
        _object_hook: None,
        _pairs_hook: None,
        memo: dict[str, str],
    ) -> tuple[dict[str, Any], int]:
        starts: list[int] = []
        pairs, end = json.decoder.JSONObject(
            position, strict, self._noting(scan, starts), None, list, memo
        )
        value = dict(pairs)
        known = dict(zip((key for key, _ in pairs), starts, strict=True))
        if len(value) < len(pairs):
            seen: set[str] = set()
            for (key, _), start in zip(pairs, starts, strict=True):
                if key in seen:
                    self.duplicates.append((value, key, start))
                seen.add(key)
        self._keep(value, known)
        return value, end

    def _array(self, position: tuple[str, int], scan: _Scan) -> tuple[list[Any], int]:
        starts: list[int] = []
        value, end = json.decoder.JSONArray(position, self._noting(scan, starts))
        self._keep(value, dict(enumerate(starts)))
        return value, end

    def _noting(self, scan: _Scan, starts: list[int]) -> _Scan:
        """Return `scan` such that it notes where the values begin."""

        def scan_and_note(text: str, start: int) -> tuple[Any, int]:
            starts.append(start)
            self.last_start = start
            return scan(text, start)

        return scan_and_note

    def _keep(self, value: Any, known: dict[Any, int]) -> None:
        self.offsets[id(value)] = known
        self.containers.append(value)


def read_file(path: FilePath) -> Source:
    """Read a JSON file.

    Raises:
        UnreadableError: The file cannot be read or is not a JSON object.
    """
    try:
        with path.open("rb") as file:
            data = file.read(SIZE_LIMIT_BYTES + 1)
    except (OSError, ValueError) as problem:
        reason = getattr(problem, "strerror", None) or str(problem)
        message = f"the file cannot be read ({reason}); check its name and permissions"
        raise UnreadableError(error((), message), opened=False) from problem
    return read_bytes(data)


def read_bytes(data: bytes) -> Source:
    """Read a JSON text.

    Raises:
        UnreadableError: The text is not a JSON object.
    """
    if len(data) > SIZE_LIMIT_BYTES:
        limit_mb = SIZE_LIMIT_BYTES >> 20
        message = (
            f"the file is larger than {limit_mb} MB; check that it is the right file"
        )
        raise UnreadableError(error((), message))
    if data.startswith(_BYTE_ORDER_MARK):
        message = "the file begins with a byte order mark; save it as UTF-8 without one"
        raise UnreadableError(_error_at(message, 1))
    try:
        text = data.decode()
    except UnicodeDecodeError as problem:
        message = "the file is not UTF-8; save it in that encoding"
        line = data.count(b"\n", 0, problem.start) + 1
        raise UnreadableError(_error_at(message, line)) from problem
    return _decode(text)


def _decode(text: str) -> Source:
    decoder = _Decoder()
    try:
        document = decoder.decode(text)
    except json.JSONDecodeError as problem:
        message = f"the file is not JSON: {_explain(problem)}"
        raise UnreadableError(_error_at(message, problem.lineno)) from problem
    except _InvalidNumberError as problem:
        number = _shorten(str(problem))
        message = f"{number} is not a number that a document can hold; write a finite"
        message += " number"
        line = text.count("\n", 0, decoder.last_start) + 1
        raise UnreadableError(_error_at(message, line)) from problem
    except RecursionError as problem:
        message = "the file is nested too deeply; a document has at most six levels"
        raise UnreadableError(error((), message)) from problem
    if not isinstance(document, dict):
        message = f"the file holds {describe(document)}; put the document in an object"
        raise UnreadableError(_error_at(message + " { }", 1))
    newlines = [match.start() for match in re.finditer("\n", text)]
    source = Source(document, text, decoder.offsets, newlines, (), decoder.containers)
    findings = _duplicates(source, decoder.duplicates)
    if "\\ud" in text.lower():
        findings += _lone_surrogates(source)
    return source._replace(findings=tuple(findings))


def describe(value: Any) -> str:
    """Return what kind of JSON value this is, in words."""
    match value:
        case None:
            return "null"
        case bool():
            return f"the boolean {str(value).lower()}"
        case int() | float():
            return f"the number {excerpt(value)}"
        case str():
            return f"the text {excerpt(value)}"
        case list():
            return "a list"
    return "an object"


def _duplicates(
    source: Source, duplicates: list[tuple[dict[str, Any], str, int]]
) -> list[Finding]:
    """Return an error for each key that an object of the document has again."""
    if not duplicates:
        return []
    paths = _paths(source.document)
    return [
        error(
            (*paths[id(holder)], key),
            f"the key {key!r} is here twice and only the last one would count;"
            " remove or rename one",
        )._replace(line=bisect_right(source.newlines, offset - 1) + 1)
        for holder, key, offset in duplicates
        if id(holder) in paths
    ]


def _lone_surrogates(source: Source) -> list[Finding]:
    findings = []
    paths = _paths(source.document)
    for container in source.containers:
        if id(container) not in paths:
            continue
        entries = (
            container.items() if isinstance(container, dict) else enumerate(container)
        )
        for key, value in entries:
            if any(isinstance(t, str) and not _is_unicode(t) for t in (key, value)):
                path = (*paths[id(container)], key)
                message = (
                    "a \\u escape is half of a character; write the character itself"
                )
                found = error(path, message)
                offset = source.offsets[id(container)][key]
                line = bisect_right(source.newlines, offset - 1) + 1
                findings.append(found._replace(line=line))
    return findings


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _paths(document: Any) -> dict[int, Path]:
    """Return the path of each object and array, by its identity."""
    paths: dict[int, Path] = {id(document): ()}
    pending = [document]
    while pending:
        holder = pending.pop()
        entries = holder.items() if isinstance(holder, dict) else enumerate(holder)
        for key, value in entries:
            if isinstance(value, dict | list):
                paths[id(value)] = (*paths[id(holder)], key)
                pending.append(value)
    return paths


def _refuse(text: str) -> Any:
    raise _InvalidNumberError(text)


def _integer(text: str) -> int:
    if len(text) > _DIGITS_LIMIT:
        raise _InvalidNumberError(text)
    return int(text)


def _real(text: str) -> float:
    value = float(text)
    if value in (float("inf"), float("-inf")):
        raise _InvalidNumberError(text)
    return value


def _explain(problem: json.JSONDecodeError) -> str:
    """Return what to do about text that is not JSON."""
    rest = problem.doc[problem.pos : problem.pos + 1]
    before = problem.doc[: problem.pos].rstrip()[-1:]
    where = f"column {problem.colno}"
    if not problem.doc.strip():
        return "it is empty; write at least { }"
    if not rest:
        return "it ends too early; close each quote, brace and bracket"
    if rest == "'":
        return f"{where} has a single quote; use double quotes"
    if rest == "/" or rest == "#":
        return f"{where} begins a comment; JSON has none, so remove it"
    if rest in "}]" and before == ",":
        return f"{where} follows a comma that has no value after it; remove the comma"
    if before == "," and "property name" in problem.msg:
        return f"{where} has no key in double quotes; write one or remove the comma"
    if problem.msg.startswith("Expecting ',' delimiter"):
        return f"a comma is missing before column {problem.colno}"
    return f"{problem.msg[0].lower()}{problem.msg[1:]} at {where}; correct the syntax"


def excerpt(value: Any) -> str:
    """Return the beginning of a value's JSON text, as one printable line."""
    text = json.dumps(value, ensure_ascii=False)
    return _shorten(text if text.isprintable() else json.dumps(value))


def _shorten(text: str) -> str:
    if len(text) <= _EXCERPT_CHARACTERS:
        return text
    return text[:_EXCERPT_CHARACTERS] + "..."


def _error_at(message: str, line: int | None) -> Finding:
    return Finding(Severity.ERROR, (), message, line)

"""The check accepts what the daemon accepts, whatever the file holds."""

import json
from copy import deepcopy
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from poplarhill import SettingsError
from poplarhill.configuration import Configuration
from poplarhill.configuration.check import (
    InForce,
    UnreadableError,
    check_source,
    has_errors,
    read_bytes,
)

NAMES = st.sampled_from(["a", "b-1", "C.2"])
FIELDS = {
    "slots": st.integers(1, 400),
    "cores": st.floats(0.1, 64),
    "draining": st.booleans(),
    "data_centre": st.sampled_from(["dc1", "dc2"]),
    "rack": st.text(),
}
ADDRESS = {"host": st.from_regex(r"\A10(\.[0-9]{1,3}){3}\Z"), "port": st.just(80)}
WORKERS = st.dictionaries(NAMES, st.fixed_dictionaries(ADDRESS, optional=FIELDS))


@st.composite
def valid_documents(draw) -> dict[str, Any]:
    services = {}
    for service in draw(st.sets(NAMES)):
        workers = draw(WORKERS)
        services[service] = {
            "workers": {f"{service}-{name}": fields for name, fields in workers.items()}
        }
    names = [name for fields in services.values() for name in fields["workers"]]
    document: dict[str, Any] = {"services": services}
    document["defaults"] = draw(
        st.fixed_dictionaries(
            {},
            optional={
                "queue_wait_s": st.floats(0.1, 1e6),
                "queue_tasks": st.integers(1, 10**6),
                "lending": st.booleans(),
            },
        )
    )
    quota = st.fixed_dictionaries({}, optional={"quota_tasks": st.integers(1, 500)})
    document["customers"] = draw(st.dictionaries(NAMES, quota))
    note = st.fixed_dictionaries({"note": st.just("a fire")})
    document["evacuations"] = draw(st.dictionaries(st.just("dc1"), note))
    if names:
        exception = st.fixed_dictionaries(
            {
                "worker": st.sampled_from(names),
                "reason": st.just("repair"),
                "set": st.fixed_dictionaries({}, optional=FIELDS),
            }
        )
        document["exceptions"] = draw(st.dictionaries(NAMES, exception))
    kept = draw(st.sets(st.sampled_from(sorted(document))))
    if names and "services" not in kept:
        kept -= {"exceptions"}
    return {section: document[section] for section in kept}


VALUES = st.sampled_from(
    [
        None,
        True,
        0,
        1,
        -1,
        1.0,
        2.5,
        70000,
        "",
        " ",
        "a",
        "10.0.0.1\n",
        [],
        {},
        {"a": 1},
    ]
).map(deepcopy)
KEYS = st.sampled_from(["a", "", "w 1", "host", "workers", "set", "é", "\ud800"])


@st.composite
def damaged_documents(draw) -> dict[str, Any]:
    """Replace, remove or add some values of a valid document."""
    document = draw(valid_documents())
    for _ in range(draw(st.integers(0, 3))):
        holder = document
        while inner := [key for key, value in holder.items() if type(value) is dict]:
            if draw(st.booleans()):
                break
            holder = holder[draw(st.sampled_from(sorted(inner)))]
        key = draw(st.sampled_from(sorted(holder)) if holder else KEYS)
        match draw(st.sampled_from(["replace", "remove", "add"])):
            case "replace":
                holder[key] = draw(VALUES)
            case "remove":
                holder.pop(key, None)
            case "add":
                holder[draw(KEYS)] = draw(VALUES)
    return document


def daemon_accepts(document: dict[str, Any]) -> bool:
    try:
        Configuration.from_document(1, document)
    except SettingsError:
        return False
    return True


# Guards against a check that refuses what the daemon would run with, or the reverse.
@settings(max_examples=400, deadline=None, derandomize=True)
@given(damaged_documents(), st.sampled_from([None, 1]))
def test_check_and_daemon_accept_the_same_files(document, indent) -> None:
    source = read_bytes(json.dumps(document, indent=indent).encode())
    assert source.document == document
    findings = check_source(source)
    assert has_errors(findings) == (not daemon_accepts(document))
    for finding in findings:
        assert 1 <= finding.line <= source.text.count("\n") + 1
        assert f"{finding.pointer} {finding.message}".isprintable()


# Guards against limits of the check that are stricter than those of the daemon, and
# against differences that are not noticed.
@settings(max_examples=200, deadline=None, derandomize=True)
@given(valid_documents(), valid_documents())
def test_a_valid_document_gives_no_error(document, old) -> None:
    source = read_bytes(json.dumps(document).encode())
    findings = check_source(source, InForce(old))
    assert not has_errors(findings)
    if not any(finding.difference for finding in findings):
        before = Configuration.from_document(0, old)
        assert before == Configuration.from_document(0, document)


# Guards against tracebacks on files that are not JSON.
@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary() | st.text(alphabet='{}[]:,"0-e.\\ud8nNaI \n').map(str.encode))
def test_any_bytes_give_findings(data: bytes) -> None:
    try:
        source = read_bytes(data)
    except UnreadableError as unreadable:
        assert unreadable.finding.message.isprintable()
    else:
        check_source(source)
        assert source.document == json.loads(data)

"""Differences are told by meaning: what changed, from what, and whom it affects."""

from typing import Any

import pytest

W1 = {"host": "10.0.0.1", "port": 80, "data_centre": "dc1"}
W2 = {"host": "10.0.0.2", "port": 80}
BASE: dict[str, Any] = {
    "services": {"booking": {"workers": {"w1": W1, "w2": W2}}},
    "customers": {"ada": {"weight": 1}},
}


def workers(**changed: Any) -> dict[str, Any]:
    return {**BASE, "services": {"booking": {"workers": changed}}}


EXCEPTION = {"worker": "w1", "reason": "a fan", "set": {"slots": 4}}
# The new document; path, change, old and new value, and whom it affects.
CHANGES = {
    "slots": (
        workers(w1={**W1, "slots": 4}, w2=W2),
        ("/services/booking/workers/w1/slots", "changed", 8, 4, "'booking'"),
    ),
    "worker added": (
        workers(w1=W1, w2=W2, w3={"host": "10.0.0.3", "port": 80}),
        (
            "/services/booking/workers/w3",
            "added",
            None,
            {"host": "10.0.0.3", "port": 80},
            "'booking'",
        ),
    ),
    "worker removed": (
        workers(w1=W1),
        ("/services/booking/workers/w2", "removed", W2, None, "'booking'"),
    ),
    "service added": (
        {**BASE, "services": {**BASE["services"], "a": {"workers": {"w9": W2}}}},
        ("/services/a", "added", None, {"workers": {"w9": W2}}, "service 'a'"),
    ),
    "default": (
        {**BASE, "defaults": {"worker_cap": 3}},
        ("/defaults/worker_cap", "changed", 2, 3, "all services"),
    ),
    "wait bound": (
        {**BASE, "defaults": {"queue_wait_s": 5}},
        ("/defaults/queue_wait_s", "added", None, 5, "all services"),
    ),
    "quota": (
        {**BASE, "customers": {"ada": {"weight": 1, "quota_tasks": 500}}},
        ("/customers/ada/quota_tasks", "changed", 10000, 500, "customer 'ada'"),
    ),
    "evacuation": (
        {**BASE, "evacuations": {"dc1": {"note": "a fire"}}},
        ("/evacuations/dc1", "added", None, {"note": "a fire"}, "'booking'"),
    ),
    "exception": (
        {**BASE, "exceptions": {"x": EXCEPTION}},
        ("/exceptions/x", "added", None, EXCEPTION, "'booking'"),
    ),
}


@pytest.mark.parametrize("name", CHANGES)
def test_each_change_is_one_difference_with_whom_it_affects(
    check_text, name: str
) -> None:
    new, (path, change, old_value, new_value, affects) = CHANGES[name]
    found = [f for f in check_text(new, BASE) if f.difference]
    [finding] = found
    assert finding.pointer == path
    assert finding.difference[:3] == (change, old_value, new_value)
    assert affects in finding.difference.affects and affects in finding.message
    # The way back is one difference of the same path.
    [back] = [f for f in check_text(BASE, new) if f.difference]
    assert (back.pointer, *back.difference[1:3]) == (path, new_value, old_value)


def test_a_default_that_is_written_out_is_no_difference(check_text) -> None:
    assert check_text(workers(w1={**W1, "slots": 8}, w2=W2), BASE) == []


def test_a_document_with_errors_cannot_be_compared_with(check_text) -> None:
    [finding] = check_text(BASE, {"customers": 1})
    assert "check it first" in finding.message

"""Replies of workers whose rows or fields cannot be decoded."""

import msgspec
import pytest

from poplarhill.http import Response
from poplarhill_platform.workers import _lease_reply, _order_reply
from poplarhilld.leases import (
    LeaseReply,
    OrderOutcome,
    RenewalFailure,
    Run,
    RunEnd,
    RunEndKind,
)

RUNNING = '["j.0.0.0",2,"",41]'
END = '[58,"j.0.0.9",1,"done",""]'
ODD_VALUES = ["null", "true", "-1", "0", "1.5", "[]", "{}", "9" * 30, "9" * 5000]
NESTED = "[" * 5_000 + "]" * 5_000


def reply(
    running: str = RUNNING, ends: str = END, clock: str = "482113", born: str = "7"
) -> LeaseReply | RenewalFailure:
    """Return what is understood of a worker's state."""
    body = (
        f'{{"clock_ms":{clock},"born":{born},"running":[{running}],'
        f'"ended_runs":[{ends}]}}'
    )
    return _lease_reply(Response(200, {}, body.encode()))


def odd_rows(*fields: str) -> list[str]:
    """Return rows with one odd or missing field, and values that are no rows."""
    rows = [f"[{','.join(fields[:count])}]" for count in range(len(fields))]
    for place in range(len(fields)):
        for value in ODD_VALUES:
            rows.append(f"[{','.join((*fields[:place], value, *fields[place + 1 :]))}]")
    return [*rows, *(value for value in ODD_VALUES if value != "[]"), '"a"']


# Guards against replies of which nothing counts because of one row, and against an
# end of the process by a row that is no list.
@pytest.mark.parametrize("row", odd_rows('"j"', "1"), ids=lambda row: row[:30])
def test_an_odd_running_row_hides_no_other_row(row: str) -> None:
    for running in (f"{row},{RUNNING}", f"{RUNNING},{row}"):
        understood = reply(running)
        assert understood.running == (Run("j.0.0.0", 2),)
        assert understood.unreadable_runs == 1
        assert understood.ends == reply().ends


@pytest.mark.parametrize(
    "row", odd_rows("57", '"j"', "1", '"done"'), ids=lambda row: row[:30]
)
def test_an_odd_end_hides_no_other_row(row: str) -> None:
    for ends in (f"{row},{END}", f"{END},{row}"):
        understood = reply(ends=ends)
        assert understood == reply()
        assert understood.ends == (RunEnd(58, Run("j.0.0.9", 1), RunEndKind.DONE),)


@pytest.mark.parametrize("value", [*ODD_VALUES, NESTED], ids=lambda value: value[:30])
def test_an_odd_state_is_unhealthy(value: str) -> None:
    if value != "0":
        assert reply(clock=value) is RenewalFailure.UNHEALTHY
        assert reply(born=value) is RenewalFailure.UNHEALTHY
    body = f'{{"clock_ms":1,"born":1,"running":{value},"ended_runs":0}}'
    outcome = Response(200, {}, body.encode())
    assert _lease_reply(outcome) is RenewalFailure.UNHEALTHY


# Guards against an end of the process, and against capacity that is given up although
# the run may have been started.
@pytest.mark.parametrize("value", [*ODD_VALUES, NESTED], ids=lambda value: value[:30])
def test_an_odd_reply_to_an_order_proves_nothing(value: str) -> None:
    for body in (f'{{"clock_ms":1,"reason":{value}}}', value, f'{{"x":{NESTED}}}'):
        outcome = _order_reply(Response(409, {}, body.encode()))
        assert outcome.outcome is OrderOutcome.UNKNOWN
        accepted = _order_reply(Response(200, {}, body.encode()))
        assert accepted.outcome is OrderOutcome.ACCEPTED


def test_a_reply_with_both_lists_survives() -> None:
    body = msgspec.json.encode({"clock_ms": 5, "born": 7, "running": [["j", 1, "", 4]]})
    understood = _lease_reply(Response(200, {}, body))
    assert understood == LeaseReply(0.005, 7, (Run("j", 1),), ())

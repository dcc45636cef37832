"""Reasons for lost jobs, as told from the logs of entry hosts."""

import msgspec
import pytest
from click.testing import CliRunner

from poplarhill_dev.cli import main
from poplarhill_dev.losses import LossReason, find_losses

LIMIT_S = 1.5
TAKEN = {"event": "JobTaken", "job": "j", "tasks": 2}
HANDED_OVER = {"event": "LeaderChosen", "job": "j", "handovers": 1}


def ordered(task: int) -> dict:
    return {"event": "RunOrdered", "task": f"j.0.0.{task}", "run": 1}


def resolved(task: int, fate: str, took_s: float) -> dict:
    event = {"event": "RunResolved", "task": f"j.0.0.{task}", "run": 1}
    return event | {"fate": fate, "took_s": took_s}


def answered(outcome: str, detail: str = "") -> dict:
    fields = {"route": "r", "outcome": outcome, "detail": detail, "limit_s": LIMIT_S}
    return {"event": "JobAnswered", "job": "j", **fields}


def timed(*lines: dict) -> list[dict]:
    return [
        {**line, "timestamp": f"2026-12-04T10:00:0{second}+00:00"}
        for second, line in enumerate(lines)
    ]


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        ([answered("expired", "it runs for 2 s")], LossReason.REFUSED_TOO_LONG),
        ([answered("overloaded", "late, and 9 of 8")], LossReason.REFUSED_LATE),
        ([answered("overloaded", "expected to wait")], LossReason.REFUSED_WAIT),
        ([answered("shutting_down")], LossReason.REFUSED_OTHER),
        ([TAKEN, answered("timeout")], LossReason.NEVER_ORDERED),
        ([TAKEN, HANDED_OVER, answered("timeout")], LossReason.HANDED_OVER),
        ([TAKEN, ordered(0), answered("timeout")], LossReason.PARTLY_ORDERED),
        (
            [TAKEN, ordered(0), ordered(1), resolved(0, "done", 0.2)]
            + [answered("timeout")],
            LossReason.RUN_LOST,
        ),
        (
            [TAKEN, ordered(0), ordered(1), resolved(0, "done", 0.2)]
            + [answered("timeout"), resolved(1, "ended", 1.4)],
            LossReason.LONG_RUN,
        ),
        (
            [TAKEN, ordered(0), ordered(1), resolved(0, "done", 0.2)]
            + [answered("timeout"), resolved(1, "ended", 0.3)],
            LossReason.SLOW,
        ),
        (
            [TAKEN, ordered(0), ordered(1), resolved(0, "done", 0.2)]
            + [resolved(1, "done", 0.2), answered("timeout")],
            LossReason.REPORT_LOST,
        ),
    ],
)
def test_the_reason_follows_from_the_lines_of_the_job(lines, reason) -> None:
    (loss,) = find_losses(timed(*lines))
    assert loss.reason is reason
    assert loss.job == "j"


def test_jobs_that_were_served_are_not_listed() -> None:
    assert not find_losses(timed(TAKEN, ordered(0), answered("complete")))


def test_the_command_prints_both_tables_and_writes_a_picture(tmp_path) -> None:
    log = tmp_path / "h1.log"
    lines = timed(TAKEN, answered("timeout"))
    log.write_bytes(b"\n".join(msgspec.json.encode(line) for line in lines))
    picture = tmp_path / "losses.svg"
    shown = CliRunner().invoke(main, ["losses", str(log), "--plot", str(picture)])
    assert shown.exit_code == 0, shown.output
    assert "no task ordered" in shown.output
    assert picture.read_text().startswith("<?xml")


def test_a_missing_file_is_a_clear_error(tmp_path) -> None:
    shown = CliRunner().invoke(main, ["losses", str(tmp_path / "none.log")])
    assert shown.exit_code == 1
    assert "No such file" in shown.output

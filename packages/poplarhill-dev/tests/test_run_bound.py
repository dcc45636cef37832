"""How many jobs could have been served without delay, as told from logs."""

import msgspec
import pytest
from click.testing import CliRunner

from poplarhill_dev.cli import main
from poplarhill_dev.run_bound import closed_jobs, find_bound

LIMIT_S = 1.4


def job_lines(
    name: str, longest_run_s: float, outcome: str = "complete", **closed: object
) -> list[dict]:
    answer = {"event": "JobAnswered", "job": name, "route": "r"}
    answer |= {"outcome": outcome, "limit_s": LIMIT_S}
    closing = {"event": "JobClosed", "job": name, "runs": 2, "tasks": 2, "cores": 16.0}
    closing |= {"last_start_s": 0.0, "mean_run_s": 1.0, "longest_run_s": longest_run_s}
    return [answer, closing | closed]


# Guards against counting jobs as lost by the dispatcher that no dispatcher could serve.
def test_a_run_that_takes_longer_than_the_limit_is_no_avoidable_loss() -> None:
    jobs = closed_jobs(job_lines("a", 1.0) + job_lines("b", LIMIT_S, "timeout"))
    assert find_bound(jobs) == (2, 1, 1, 1.0, {})


# Guards against the opposite: a loss by a late start that is put down to the run time.
@pytest.mark.parametrize(
    ("closed", "wait"),
    [
        ({"last_start_s": 0.1}, "started late"),
        ({"last_start_s": None}, "a task was never started"),
        ({"last_start_s": 0.1, "runs": 3}, "a run was repeated"),
    ],
)
def test_a_loss_after_a_wait_counts_by_the_share_of_runs_that_end_then(
    closed, wait
) -> None:
    # Of the four jobs that run for longer than 1.3 s, two end before the limit.
    lines = job_lines("lost", 1.3, "timeout", **closed)
    for name, longest_run_s in (("a", 1.31), ("b", 1.35), ("c", 1.45), ("d", 1.5)):
        lines += job_lines(name, longest_run_s)
    bound = find_bound(closed_jobs(lines))
    assert bound.lost_by_wait == {wait: pytest.approx(0.5)}
    assert bound.possible == pytest.approx(4.5)


def test_the_command_prints_each_route_and_its_largest_jobs(tmp_path) -> None:
    log = tmp_path / "h1.log"
    lines = [line for n in range(20) for line in job_lines(f"j{n}", 1.0)]
    log.write_bytes(b"\n".join(msgspec.json.encode(line) for line in lines))
    shown = CliRunner().invoke(main, ["run-bound", str(log)])
    assert shown.exit_code == 0, shown.output
    header, whole, tenth, fifth = shown.output.splitlines()
    assert [row.split()[-4] for row in (whole, tenth, fifth)] == ["20", "2", "4"]

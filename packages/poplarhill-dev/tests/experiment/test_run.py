"""A small experiment from its file to its results."""

import msgspec

from poplarhill_dev.experiment.config import Case, Experiment
from poplarhill_dev.experiment.run import run_experiment
from poplarhill_dev.experiment.workload import plan_jobs

SMALL = Experiment(
    name="small",
    policies={"capped": {"policy": "least_outstanding", "worker_cap": 2}},
    loads=(0.2,),
    duration_s=2.0,
    hosts=2,
    workers=3,
)


def test_a_seed_always_gives_the_same_jobs() -> None:
    case = Case("kelani", 0.2, 7, "capped")
    assert plan_jobs(SMALL, case) == plan_jobs(SMALL, case)


def test_every_answer_of_a_run_without_faults_is_complete(tmp_path) -> None:
    file = tmp_path / "small.json"
    file.write_bytes(msgspec.json.encode(SMALL))
    [summary] = run_experiment(file, tmp_path).summaries
    assert summary.jobs > 0
    assert summary.whole == summary.jobs
    assert summary.violations == []
    assert (tmp_path / "small" / "plot.png").exists()

"""The whole path over leased workers, with entry hosts as processes."""

from poplarhill_platform_dev.demo import run_demo


def test_every_job_of_the_demo_is_complete() -> None:
    assert run_demo() == 0

"""The demo: jobs through entry hosts, as processes, to leased workers."""

from poplarhill_platform_dev.demo import run_demo


def test_the_demo_completes_every_job() -> None:
    assert run_demo() == 0

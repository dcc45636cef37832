"""The demo: jobs through daemons and workers as separate processes."""

from poplarhill_dev.demo import run_demo


def test_every_answer_of_the_demo_is_complete() -> None:
    assert run_demo() == 0

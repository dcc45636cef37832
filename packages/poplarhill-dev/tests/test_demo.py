"""The whole path, as separate processes."""

from poplarhill_dev.demo import run_demo


def test_every_answer_of_the_demo_is_whole() -> None:
    assert run_demo() == 0

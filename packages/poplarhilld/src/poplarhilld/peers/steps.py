"""The steps of a job: names of their tasks, and how long a chain of them runs."""

from collections.abc import Sequence
from typing import NamedTuple

from poplarhill.decoding import parse_digits
from poplarhill.types import MAX_TASKS_PER_JOB
from poplarhilld.peers.messages import StepSpec


class TaskName(NamedTuple):
    """The parts of the name of a task.

    Attributes:
        job_id: Id of its job.
        step: Number of its step, from 0.
        index: Its position in the step, from 0.
    """

    job_id: str
    step: int
    index: int


def step_prefix(job_id: str, step: int) -> str:
    """Return what the names of the tasks of a step begin with.

    The name of a task is unique in the fleet.
    """
    return f"{job_id}.0.{step}."


def parse_task_name(name: str) -> TaskName | None:
    """Return the parts of the name of a task, or `None` if it is not such a name."""
    job_id, *numbers = name.rsplit(".", 3)
    if len(numbers) != 3:
        return None
    step, index = (parse_digits(part, MAX_TASKS_PER_JOB) for part in numbers[1:])
    if step is None or index is None:
        return None
    return TaskName(job_id, step, index)


def longest_chain_s(steps: Sequence[StepSpec], step_s: Sequence[float]) -> float:
    """Return the run time of the longest chain of steps, s.

    Args:
        steps: The steps of a job, in order.
        step_s: Run time of a task of each step, s.
    """
    ends: list[float] = []
    for step, run_s in zip(steps, step_s, strict=True):
        begin = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(begin + run_s)
    return max(ends, default=0.0)

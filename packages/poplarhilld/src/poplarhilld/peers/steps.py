"""Run time of a job from the run times of its steps."""

from collections.abc import Sequence

from poplarhilld.peers.messages import StepSpec


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

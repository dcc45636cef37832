"""Placement policies: which workers are drawn, and which of them is chosen.

Chance is only in the draw. The choice among the candidates drawn is a plain
function of them, so that a logged decision can be replayed.
"""

from dataclasses import dataclass, field
from itertools import islice
from random import Random

from poplarhill.configuration import Defaults
from poplarhilld.placement.messages import Candidate
from poplarhilld.placement.pool import WorkerPool
from poplarhilld.placement.view import WorkerView

MAX_CANDIDATES = 8


@dataclass
class RandomChoice:
    """Any worker with headroom, evenly."""

    name = "random"


@dataclass
class RoundRobin:
    """Each worker in turn.

    Attributes:
        turn: Count of choices so far.
    """

    turn: int = field(default=0)
    name = "round_robin"


@dataclass
class LeastOutstanding:
    """A worker with the fewest outstanding tasks."""

    name = "least_outstanding"


@dataclass
class TwoChoices:
    """The better of two workers drawn at random."""

    name = "two_choices"


@dataclass
class Shares:
    """A worker where most of this host's share is free.

    Slow workers come last; of equal ones, those of the own data centre go first.
    """

    name = "shares"


Policy = RandomChoice | RoundRobin | LeastOutstanding | TwoChoices | Shares


def policy_from_config(defaults: Defaults) -> Policy:
    """Return the policy that the configuration names."""
    match defaults.policy:
        case "random":
            return RandomChoice()
        case "round_robin":
            return RoundRobin()
        case "two_choices":
            return TwoChoices()
        case "least_outstanding":
            return LeastOutstanding()
        case _:
            return Shares()


def draw(
    policy: Policy, pool: WorkerPool, now: float, view: WorkerView, random: Random
) -> tuple[Candidate, ...]:
    """Draw the candidates for one task.

    Args:
        policy: The policy in force.
        pool: Workers of the task's service.
        now: The host's own clock, s.
        view: What is known of the workers.
        random: Source of random choices.
    """
    match policy:
        case RandomChoice():
            names = islice(pool.any_open(now, view, random), 1)
        case RoundRobin():
            names = islice(_in_turn(policy, pool, now, view), 1)
        case TwoChoices():
            draws = (pool.any_open(now, view, random) for _ in range(2))
            names = (name for one in draws for name in islice(one, 1))
        case LeastOutstanding() | Shares():
            names = islice(pool.freest(now, view, random), MAX_CANDIDATES)
    return tuple(pool.candidate(name, view) for name in names)


def choose(policy: Policy, candidates: tuple[Candidate, ...]) -> Candidate:
    """Choose one of the candidates drawn; there is at least one."""
    match policy:
        case RandomChoice() | RoundRobin():
            return candidates[0]
        case TwoChoices() | LeastOutstanding():
            return min(candidates, key=lambda candidate: candidate.outstanding)
        case Shares():
            return min(candidates, key=_share_rank)


def _share_rank(candidate: Candidate) -> tuple[float, int, bool]:
    return (round(candidate.slowdown), -candidate.headroom, not candidate.local)


def _in_turn(policy: RoundRobin, pool: WorkerPool, now: float, view: WorkerView):
    names = list(pool.specs)
    for _ in names:
        policy.turn += 1
        name = names[policy.turn % len(names)]
        if pool.headroom(name) > 0 and view.may_use(now, pool.specs[name]):
            yield name

"""Placement policies: which workers are candidates, and which of them is chosen.

Randomness is used only to draw the candidates. The choice among them is a pure
function of the candidates, so that a logged decision can be replayed.
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
    """Chooses a random worker with headroom."""

    name = "random"


@dataclass
class RoundRobin:
    """Chooses each worker in turn.

    Attributes:
        turn: Count of workers visited so far.
    """

    turn: int = field(default=0)
    name = "round_robin"


@dataclass
class LeastOutstanding:
    """Chooses the worker with the fewest outstanding tasks.

    Candidates are the workers with the most headroom.
    """

    name = "least_outstanding"


@dataclass
class TwoChoices:
    """Chooses the worker with fewer outstanding tasks of two random workers."""

    name = "two_choices"


@dataclass
class Shares:
    """Chooses the worker with the most headroom within this host's allowance.

    Slow workers come last. Among equal workers, those in the host's own data centre
    come first.
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


def draw_candidates(
    policy: Policy, pool: WorkerPool, now: float, view: WorkerView, random: Random
) -> tuple[Candidate, ...]:
    """Draw the candidates for one task.

    Args:
        policy: The policy in force.
        pool: Workers of the task's service.
        now: The host's own clock, s.
        view: What this host knows about the workers.
        random: Source of random choices.
    """
    match policy:
        case RandomChoice():
            names = islice(pool.available(now, view, random), 1)
        case RoundRobin():
            names = islice(_next_in_rotation(policy, pool, now, view), 1)
        case TwoChoices():
            draws = (pool.available(now, view, random) for _ in range(2))
            names = (name for one in draws for name in islice(one, 1))
        case LeastOutstanding() | Shares():
            names = islice(pool.by_headroom(now, view, random), MAX_CANDIDATES)
    return tuple(pool.candidate(name, view) for name in names)


def choose_candidate(policy: Policy, candidates: tuple[Candidate, ...]) -> Candidate:
    """Choose one of the candidates, which must not be empty."""
    match policy:
        case RandomChoice() | RoundRobin():
            return candidates[0]
        case TwoChoices() | LeastOutstanding():
            return min(candidates, key=lambda candidate: candidate.outstanding)
        case Shares():
            return min(candidates, key=_share_rank)


def _share_rank(candidate: Candidate) -> tuple[float, int, bool]:
    return (round(candidate.slowdown), -candidate.headroom, not candidate.local)


def _next_in_rotation(
    policy: RoundRobin, pool: WorkerPool, now: float, view: WorkerView
):
    names = list(pool.specs)
    for _ in names:
        policy.turn += 1
        name = names[policy.turn % len(names)]
        if pool.headroom(name) > 0 and view.may_use(now, pool.specs[name]):
            yield name

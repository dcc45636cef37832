"""Placement policies: how one worker is chosen among candidates."""

from dataclasses import dataclass, field
from random import Random

from poplarhill.configuration import Defaults


@dataclass(frozen=True)
class Candidate:
    """A worker that may take one more task.

    Attributes:
        worker: Its name.
        outstanding: Tasks that this host has sent to it and not heard of.
    """

    worker: str
    outstanding: int


@dataclass
class RandomChoice:
    """Any candidate, evenly."""

    name = "random"


@dataclass
class RoundRobin:
    """Each candidate in turn.

    Attributes:
        turn: Count of choices so far.
    """

    turn: int = field(default=0)
    name = "round_robin"


@dataclass
class LeastOutstanding:
    """The candidate with the fewest outstanding tasks, ties at random."""

    name = "least_outstanding"


@dataclass
class TwoChoices:
    """The better of two candidates drawn at random."""

    name = "two_choices"


Policy = RandomChoice | RoundRobin | LeastOutstanding | TwoChoices


def policy_from_config(defaults: Defaults) -> Policy:
    """Return the policy that the configuration names."""
    match defaults.policy:
        case "random":
            return RandomChoice()
        case "round_robin":
            return RoundRobin()
        case "two_choices":
            return TwoChoices()
        case _:
            return LeastOutstanding()


def choose(policy: Policy, candidates: list[Candidate], random: Random) -> Candidate:
    """Choose one candidate; there is at least one."""
    match policy:
        case RandomChoice():
            return random.choice(candidates)
        case RoundRobin():
            policy.turn += 1
            return candidates[policy.turn % len(candidates)]
        case TwoChoices():
            pair = (random.choice(candidates), random.choice(candidates))
            return min(pair, key=lambda candidate: candidate.outstanding)
        case LeastOutstanding():
            least = min(candidate.outstanding for candidate in candidates)
            best = [c for c in candidates if c.outstanding == least]
            return random.choice(best)

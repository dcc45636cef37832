"""Ranges of the values in frames, beyond what the schema says.

Frames come from hosts that may run another build.
"""

from collections.abc import Callable
from functools import lru_cache
from typing import Any

from poplarhill.decoding import (
    MAX_ACCELERATORS,
    MAX_CORES,
    MAX_MEMORY_MB,
    parse_digits,
)
from poplarhill.exceptions import ErrorKind
from poplarhill.types import MAX_TASKS_PER_JOB, Address, Resources
from poplarhilld.peers.leadership import Beat, Claim, JobEnded, JobOffer, LeaderDigest
from poplarhilld.peers.messages import MemberState

_ADDRESSES_KEPT = 4096
_MAX_SHARD_NUMBER = 65_535
_ERRORS = {"", *(kind.value for kind in ErrorKind)}


def check_ranges(message: Any) -> None:
    """Check a message, without the messages in it.

    Raises:
        ValueError: A value is out of its range.
    """
    check = _CHECKS.get(type(message))
    if check is not None:
        check(message)


def _check_resources(resources: Resources) -> None:
    cores, memory_mb, accelerators = resources
    if (
        not 0 <= cores <= MAX_CORES
        or memory_mb > MAX_MEMORY_MB
        or accelerators > MAX_ACCELERATORS
    ):
        raise ValueError(f"resources out of range: {resources}")


def _check_member(member: MemberState) -> None:
    _check_address(member.host, member.port)


def _check_beat(beat: Beat) -> None:
    _check_address(beat.host, beat.port)
    if not 0 <= beat.weight <= MAX_CORES:
        raise ValueError(f"weight out of range: {beat.weight}")
    if not 0 <= beat.oldest_offer_at_s <= beat.sent_at_s:
        raise ValueError(f"offer time out of range: {beat.oldest_offer_at_s}")


def _check_digest(digest: LeaderDigest) -> None:
    _check_address(digest.host, digest.port)
    for shard in digest.led_shards:
        _check_shard(shard)


def _check_claim(claim: Claim) -> None:
    _check_shard(claim.shard)


def _check_end(end: JobEnded) -> None:
    if end.error not in _ERRORS:
        raise ValueError(f"unknown kind of error: {end.error[:40]!r}")


def _check_offer(offer: JobOffer) -> None:
    tasks = sum(step.count for step in offer.steps)
    if not 0 < tasks <= MAX_TASKS_PER_JOB:
        raise ValueError(f"a job of {tasks} tasks")
    if any(index >= tasks for index in offer.done):
        raise ValueError("a task is done that the job does not have")
    for number, step in enumerate(offer.steps):
        if any(earlier >= len(offer.steps) for earlier in step.after):
            raise ValueError(f"step {number} depends on a later one")


@lru_cache(maxsize=_ADDRESSES_KEPT)
def _check_address(host: str, port: int) -> None:
    Address.from_text(f"{host}:{port}")


@lru_cache(maxsize=_ADDRESSES_KEPT)
def _check_shard(shard: str) -> None:
    if parse_digits(shard.rpartition("/")[2], _MAX_SHARD_NUMBER) is None:
        raise ValueError(f"{shard[:80]!r} is not a shard")


_CHECKS: dict[type, Callable[[Any], None]] = {
    Resources: _check_resources,
    MemberState: _check_member,
    Beat: _check_beat,
    LeaderDigest: _check_digest,
    Claim: _check_claim,
    JobEnded: _check_end,
    JobOffer: _check_offer,
}

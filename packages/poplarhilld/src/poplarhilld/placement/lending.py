"""Lending of idle slots between hosts, under short leases.

The holder's lease runs from when it sent the request, by its own clock. The
lender counts the slots as used from when the request came, for as long; so its
lease ends later than the holder's, whatever frames are late, lost or doubled.
"""

from random import Random
from typing import NamedTuple

from poplarhilld.peers.messages import (
    SlotGrant,
    SlotRequest,
    SlotReturn,
    WorkerSlots,
)

_REQUEST_ID_BITS = 62
_CLOCK_RATE_MARGIN = 0.01


class LendingTerms(NamedTuple):
    """When slots are asked for and lent.

    Attributes:
        lease_s: How long slots are lent, s.
        use_s: How long after the request new tasks may use them, s.
        min_waiting: Fewest waiting tasks that are worth asking for.
        peers_asked: Most peers asked at a time.
        retry_s: Time until the same peer is asked again, s.
        reserve: Free slots that a lender keeps.
    """

    lease_s: float = 0.5
    use_s: float = 0.5
    min_waiting: int = 8
    peers_asked: int = 2
    retry_s: float = 0.5
    reserve: int = 2


DEFAULT_TERMS = LendingTerms()


class Loan(NamedTuple):
    """Slots lent by one host to another.

    Attributes:
        service: Service of the workers.
        slots: What is lent.
        ends_at: When this host takes the lease to end, s of its own clock.
    """

    service: str
    slots: tuple[WorkerSlots, ...]
    ends_at: float


class _Asked(NamedTuple):
    peer: str
    service: str
    sent_at: float


class Lending:
    """Loans and requests of one host.

    Args:
        random: Source of request ids and of the order among equal peers.
        terms: When slots are asked for and lent.
    """

    def __init__(self, random: Random, terms: LendingTerms) -> None:
        self._random = random
        self._terms = terms
        self._next_id = random.getrandbits(_REQUEST_ID_BITS)
        self._asked: dict[int, _Asked] = {}
        self._not_before: dict[str, float] = {}
        self._idle: dict[str, int] = {}
        self._borrowed: dict[int, Loan] = {}
        self._lent: dict[tuple[str, int], Loan] = {}

    @property
    def terms(self) -> LendingTerms:
        """When slots are asked for and lent."""
        return self._terms

    @property
    def borrowed(self) -> tuple[Loan, ...]:
        """Loans that this host holds."""
        return tuple(self._borrowed.values())

    @property
    def lent(self) -> tuple[Loan, ...]:
        """Loans that this host gave."""
        return tuple(self._lent.values())

    def observe(self, peer: str, idle_slots: int) -> None:
        """Note how many slots a peer says that it could lend."""
        self._idle[peer] = idle_slots

    def ask(
        self, now: float, service: str, waiting: int, peers: frozenset[str]
    ) -> list[tuple[str, SlotRequest]]:
        """Return the requests worth their messages.

        Args:
            now: The host's own clock, s.
            service: Service with tasks that found no slot.
            waiting: Count of those tasks.
            peers: Live peers.
        """
        if waiting < self._terms.min_waiting:
            return []
        known = [
            peer
            for peer in sorted(peers)
            if self._idle.get(peer, 1) > 0 and self._not_before.get(peer, now) <= now
        ]
        self._random.shuffle(known)
        known.sort(key=lambda peer: -self._idle.get(peer, 0))
        requests = []
        for peer in known[: self._terms.peers_asked]:
            self._next_id += 1
            self._asked[self._next_id] = _Asked(peer, service, now)
            self._not_before[peer] = now + self._terms.retry_s
            requests.append((peer, SlotRequest(self._next_id, service, waiting)))
        return requests

    def accept(self, now: float, sender: str, grant: SlotGrant) -> Loan | None:
        """Return the loan of a grant that this host asked for and can still use."""
        asked = self._asked.pop(grant.request_id, None)
        if asked is None or asked.peer != sender:
            return None
        self._idle[sender] = grant.idle_slots
        use_s = min(grant.lease_s, self._terms.use_s) * (1.0 - _CLOCK_RATE_MARGIN)
        ends_at = asked.sent_at + use_s
        if now >= ends_at or not grant.slots:
            return None
        loan = Loan(asked.service, grant.slots, ends_at)
        self._borrowed[grant.request_id] = loan
        return loan

    def lend(
        self,
        now: float,
        peer: str,
        request: SlotRequest,
        slots: tuple[WorkerSlots, ...],
        idle_slots: int,
    ) -> SlotGrant | None:
        """Return the grant of slots, unless the request was answered before."""
        if (peer, request.request_id) in self._lent:
            return None
        lease_s = self._terms.lease_s
        loan = Loan(request.service, slots, now + lease_s)
        self._lent[peer, request.request_id] = loan
        return SlotGrant(request.request_id, lease_s, slots, idle_slots)

    def give_back(self, peer: str, message: SlotReturn) -> Loan | None:
        """Return the loan that a peer gives back, if it still holds it."""
        return self._lent.pop((peer, message.request_id), None)

    def expire(self, now: float) -> tuple[list[Loan], list[Loan]]:
        """Take out what has ended: loans held, and loans given."""
        held = [key for key, loan in self._borrowed.items() if loan.ends_at <= now]
        given = [key for key, loan in self._lent.items() if loan.ends_at <= now]
        lapsed = [
            key
            for key, asked in self._asked.items()
            if asked.sent_at + self._terms.lease_s <= now
        ]
        for key in lapsed:
            del self._asked[key]
        return (
            [self._borrowed.pop(key) for key in held],
            [self._lent.pop(key) for key in given],
        )

"""Lending of idle slots between hosts, under short leases.

Each side measures the lease by its own clock. For the borrower it starts when the
request was sent, for the lender when the request was received. The lender's lease
therefore ends after the borrower's, even if frames are delayed, lost or duplicated.
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
    """Rules for borrowing and lending slots.

    Attributes:
        lease_s: Length of a lease, s.
        use_s: Time after the request in which new tasks may use the slots, s.
        min_waiting: Minimum number of queued tasks for which slots are requested.
        peers_asked: Maximum number of peers that are asked at a time.
        retry_s: Time until the same peer is asked again, s.
        reserve: Idle slots that a lender keeps for itself.
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
        slots: Slots lent, by worker.
        ends_at: When the lease ends for this host, s of its own clock.
    """

    service: str
    slots: tuple[WorkerSlots, ...]
    ends_at: float


class _PendingRequest(NamedTuple):
    """A request for slots that has no reply yet."""

    peer: str
    service: str
    sent_at: float


class Lending:
    """Tracks the loans of one host and its requests for slots.

    Args:
        random: Source of request ids and of the order among equal peers.
        terms: Rules for borrowing and lending slots.
    """

    def __init__(self, random: Random, terms: LendingTerms) -> None:
        self._random = random
        self._terms = terms
        self._next_id = random.getrandbits(_REQUEST_ID_BITS)
        self._pending: dict[int, _PendingRequest] = {}
        self._next_request_at: dict[str, float] = {}
        self._peer_idle_slots: dict[str, int] = {}
        self._borrowed: dict[int, Loan] = {}
        self._lent: dict[tuple[str, int], Loan] = {}

    @property
    def terms(self) -> LendingTerms:
        """Rules for borrowing and lending slots."""
        return self._terms

    @property
    def borrowed(self) -> tuple[Loan, ...]:
        """Loans that this host has received."""
        return tuple(self._borrowed.values())

    @property
    def lent(self) -> tuple[Loan, ...]:
        """Loans that this host has granted."""
        return tuple(self._lent.values())

    def note_idle_slots(self, peer: str, idle_slots: int) -> None:
        """Record how many idle slots a peer reports."""
        self._peer_idle_slots[peer] = idle_slots

    def request_slots(
        self, now: float, service: str, waiting: int, peers: frozenset[str]
    ) -> list[tuple[str, SlotRequest]]:
        """Return requests for slots, each with its peer.

        Peers that report the most idle slots are asked first. No peer is asked when
        fewer than `min_waiting` tasks wait.

        Args:
            now: The host's own clock, s.
            service: Service with tasks that have no slot.
            waiting: Count of those tasks.
            peers: Live peers.
        """
        if waiting < self._terms.min_waiting:
            return []
        eligible = [
            peer
            for peer in sorted(peers)
            if self._peer_idle_slots.get(peer, 1) > 0
            and self._next_request_at.get(peer, now) <= now
        ]
        self._random.shuffle(eligible)
        eligible.sort(key=lambda peer: -self._peer_idle_slots.get(peer, 0))
        requests = []
        for peer in eligible[: self._terms.peers_asked]:
            self._next_id += 1
            self._pending[self._next_id] = _PendingRequest(peer, service, now)
            self._next_request_at[peer] = now + self._terms.retry_s
            requests.append((peer, SlotRequest(self._next_id, service, waiting)))
        return requests

    def accept_grant(self, now: float, sender: str, grant: SlotGrant) -> Loan | None:
        """Record a grant, and return its loan.

        Return None if this host did not request the grant, if the grant is empty or
        if its lease has ended.
        """
        pending = self._pending.pop(grant.request_id, None)
        if pending is None or pending.peer != sender:
            return None
        self._peer_idle_slots[sender] = grant.idle_slots
        use_s = min(grant.lease_s, self._terms.use_s) * (1.0 - _CLOCK_RATE_MARGIN)
        ends_at = pending.sent_at + use_s
        if now >= ends_at or not grant.slots:
            return None
        loan = Loan(pending.service, grant.slots, ends_at)
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
        """Record a loan, and return its grant; None if the request has a loan."""
        if (peer, request.request_id) in self._lent:
            return None
        lease_s = self._terms.lease_s
        loan = Loan(request.service, slots, now + lease_s)
        self._lent[peer, request.request_id] = loan
        return SlotGrant(request.request_id, lease_s, slots, idle_slots)

    def accept_return(self, peer: str, message: SlotReturn) -> Loan | None:
        """End the loan that a peer returns early, and return it if it had not ended."""
        return self._lent.pop((peer, message.request_id), None)

    def expire(self, now: float) -> tuple[list[Loan], list[Loan]]:
        """Remove the loans that have ended; return those borrowed and those lent."""
        borrowed = [key for key, loan in self._borrowed.items() if loan.ends_at <= now]
        lent = [key for key, loan in self._lent.items() if loan.ends_at <= now]
        lapsed = [
            key
            for key, pending in self._pending.items()
            if pending.sent_at + self._terms.lease_s <= now
        ]
        for key in lapsed:
            del self._pending[key]
        return (
            [self._borrowed.pop(key) for key in borrowed],
            [self._lent.pop(key) for key in lent],
        )

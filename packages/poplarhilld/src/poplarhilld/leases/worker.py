"""One worker under this host's token: its lease, its room, its runs."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from poplarhill.types import Resources
from poplarhilld.catalogue import WorkerEntry
from poplarhilld.leases.messages import (
    LeaseReply,
    OrderOutcome,
    OrderReply,
    Renewal,
    Run,
    RunClosed,
    RunDiscovered,
    RunEndKind,
    RunOutcome,
)

ORDER_VALIDITY_S = 0.5  # an unanswered order holds its room for at least this long
RENEWAL_WAIT_S = 0.4  # two renewals may fail within a lease of 1 s
TAKEOVER_S = 0.8  # a leader that renews at the last moment stops orphans within this
EXTENSION_S = 0.5  # a renewal that is answered comes within 0.4 s of the last one
_REMEMBERED_ENDS = 256  # more than a worker ends between two overlapping replies
_CLOCK_RATE = 0.97  # a worker's clock may be 2 % slow; 1 % for rounding

Change = RunClosed | RunDiscovered


class ReservationState(Enum):
    """What is known of a run."""

    ORDERED = "ordered"
    UNCERTAIN = "uncertain"
    RUNNING = "running"


@dataclass
class Reservation:
    """Room that a run holds, or may hold.

    Attributes:
        run: The run.
        needs: Room; `None` for a run whose size is not known.
        state: What is known of the run.
        deadline_s: Time by the worker's clock after which it cannot start, s.
        since: When it was ordered or found, by the leader's clock, s.
        seen_at: When it was known to have started, by the leader's clock, s.
    """

    run: Run
    needs: Resources | None
    state: ReservationState
    deadline_s: float
    since: float
    running_since: float = 0.0


class LeasedWorker:
    """A worker that this host leads.

    Room is given back only on proof: the worker lists the end, refuses the
    order, or can no longer carry it out.

    Attributes:
        entry: The worker, as it registered itself.
        token: Fencing token of this host for it.
        fenced: Whether it obeys a newer token.

    Args:
        entry: The worker.
        token: Fencing token of this host for it.
        lease_s: Longest lease that a worker grants, s.
        now: The leader's clock, s.
    """

    def __init__(
        self, entry: WorkerEntry, token: int, lease_s: float, now: float
    ) -> None:
        self.entry = entry
        self.token = token
        self.fenced = False
        self._lease_s = lease_s
        self._taken_at = now
        self._born: int | None = None
        self._clock_s = 0.0
        self._clock_at = now
        self._last_seen = 0
        self._latest_deadline_s = 0.0
        self._reservations: dict[Run, Reservation] = {}
        self._confirmed_at: float | None = None
        self._unknown_sizes = 0
        self._free: Resources | None = None
        self._free_of = entry
        self._ended: deque[Run] = deque(maxlen=_REMEMBERED_ENDS)

    @property
    def confirmed(self) -> bool:
        """Whether the worker has accepted this host's token."""
        return self._confirmed_at is not None

    @property
    def reservations(self) -> Iterable[Reservation]:
        """Runs that hold room."""
        return self._reservations.values()

    @property
    def last_reply_at(self) -> float:
        """When the worker was last heard of, by the leader's clock, s."""
        return self._clock_at

    def awaits_first_reply(self, now: float) -> bool:
        """Return whether the worker was taken just now and may still answer."""
        return not self.confirmed and now - self._taken_at < 2 * EXTENSION_S

    def is_responsive(self, now: float) -> bool:
        """Return whether the worker was heard of under this token lately."""
        return self.confirmed and now - self._clock_at < 2 * EXTENSION_S

    @property
    def has_unknown_needs(self) -> bool:
        """Whether runs of unknown size hold room."""
        return self._unknown_sizes > 0

    def find(self, run: Run) -> Reservation | None:
        """Return the reservation of a run, if it holds room."""
        return self._reservations.get(run)

    def free_capacity(self) -> Resources:
        """Return the room that nothing holds; none beside runs of unknown size."""
        if self._free is None or self._free_of is not self.entry:
            self._free, self._free_of = self._compute_free_capacity(), self.entry
        return self._free

    def _compute_free_capacity(self) -> Resources:
        if self._unknown_sizes:
            return Resources()
        cores, memory_mb, accelerators = self.entry.room
        for held in self._reservations.values():
            cores -= held.needs.cores
            memory_mb -= held.needs.memory_mb
            accelerators -= held.needs.accelerators
        return Resources(cores, memory_mb, accelerators)

    def clock_s(self, now: float) -> float:
        """Return the worker's clock, at most a little early, s."""
        return self._clock_s + now - self._clock_at

    def reclaim(self, now: float, token: int) -> None:
        """Claim the worker under a new token."""
        self.token = token
        self.fenced = False
        self._taken_at = now
        self._confirmed_at = None

    def lease_has_expired(self, now: float) -> bool:
        """Return whether nothing can be running on a worker that is silent."""
        if self._born is None:
            return False
        left_s = max(0.0, self._latest_deadline_s - self._clock_s)
        return now > self._clock_at + left_s / _CLOCK_RATE + TAKEOVER_S

    def next_renewal(self, now: float) -> Renewal:
        """Return the renewal to send now."""
        deadline_s = None
        if self._born is not None and now - self._clock_at <= EXTENSION_S:
            # A lease that is extended unheard would never be known to have lapsed.
            deadline_s = self.clock_s(now) + self._lease_s
            self._latest_deadline_s = max(self._latest_deadline_s, deadline_s)
        wait_s = RENEWAL_WAIT_S if self.confirmed else 0.0
        return Renewal(self.token, self._last_seen, deadline_s, wait_s, now)

    def apply_renewal_reply(
        self, now: float, renewal: Renewal, reply: LeaseReply
    ) -> list[Change]:
        """Take in a worker's state."""
        changes: list[Change] = []
        if self._born != reply.incarnation:
            changes += self._start_life(reply)
        self._note_clock(now, reply.clock_s)
        if renewal.token == self.token:
            self._confirmed_at = self._confirmed_at or now
        for end in reply.ends:
            if end.sequence > self._last_seen:
                self._last_seen = end.sequence
                changes += self._take_end(end.run, end.kind)
        changes += self._take_running(now, renewal, reply)
        return changes

    def reserve(self, now: float, run: Run, needs: Resources) -> float:
        """Reserve room for a run; return its deadline by the worker's clock, s."""
        deadline_s = self.clock_s(now) + ORDER_VALIDITY_S
        self._latest_deadline_s = max(self._latest_deadline_s, deadline_s)
        self._hold(Reservation(run, needs, ReservationState.ORDERED, deadline_s, now))
        return deadline_s

    def apply_order_reply(
        self, now: float, run: Run, reply: OrderReply
    ) -> list[Change]:
        """Take in the answer to an order."""
        if reply.clock_s is not None:
            self._note_clock(now, reply.clock_s)
        held = self._reservations.get(run)
        if held is None or held.state is ReservationState.RUNNING:
            return []
        match reply.outcome:
            case OrderOutcome.ACCEPTED:
                held.state, held.running_since = ReservationState.RUNNING, now
                return []
            case OrderOutcome.UNKNOWN:
                held.state = ReservationState.UNCERTAIN
                return []
            case _:
                return [self._close(run, RunOutcome.NEVER_STARTED)]

    def apply_stop_reply(self, now: float, run: Run) -> None:
        """Take in that a worker will not start a run any more.

        The run may have started before; the next list of runs tells.
        """
        held = self._reservations.get(run)
        if held is not None:
            held.deadline_s = 0.0
            held.since = now

    def set_needs(self, run: Run, needs: Resources) -> None:
        """Note the size of a run that was found."""
        held = self._reservations.get(run)
        if held is not None and held.needs is None:
            held.needs = needs
            self._unknown_sizes -= 1
            self._free = None

    def expired_runs(self) -> list[Run]:
        """Return the runs that a lapsed lease has ended; they keep their room."""
        return [
            held.run
            for held in self._reservations.values()
            if held.state is not ReservationState.ORDERED
        ]

    def _note_clock(self, now: float, clock_s: float) -> None:
        self._clock_s, self._clock_at = clock_s, now

    def _start_life(self, reply: LeaseReply) -> list[Change]:
        """Forget the life before; its runs have ended with it."""
        first = self._born is None
        self._born = reply.incarnation
        self._last_seen = 0
        self._latest_deadline_s = reply.clock_s + self._lease_s
        self._ended.clear()
        if first:
            return []
        ended = [
            held.run
            for held in self._reservations.values()
            if held.state is ReservationState.RUNNING
        ]
        for held in self._reservations.values():
            held.deadline_s = reply.clock_s + ORDER_VALIDITY_S
        return [self._close(run, RunOutcome.ENDED) for run in ended]

    def _take_end(self, run: Run, kind: RunEndKind) -> list[Change]:
        self._ended.append(run)
        if run not in self._reservations:
            self._hold(
                Reservation(run, Resources(), ReservationState.RUNNING, 0.0, 0.0)
            )
        match kind:
            case RunEndKind.DONE:
                return [self._close(run, RunOutcome.DONE)]
            case RunEndKind.FAILED:
                return [self._close(run, RunOutcome.FAILED)]
            case _:
                return [self._close(run, RunOutcome.ENDED)]

    def _take_running(
        self, now: float, renewal: Renewal, reply: LeaseReply
    ) -> list[Change]:
        changes: list[Change] = []
        listed = set(reply.running).difference(self._ended)
        for run in listed:
            held = self._reservations.get(run)
            if held is None:
                self._unknown_sizes += 1
                self._hold(
                    Reservation(run, None, ReservationState.RUNNING, 0.0, now, now)
                )
                changes.append(RunDiscovered(run))
            elif held.state is not ReservationState.RUNNING:
                held.state, held.running_since = ReservationState.RUNNING, now
                changes.append(RunDiscovered(run))
        for held in list(self._reservations.values()):
            if held.run in listed:
                continue
            if (
                held.state is ReservationState.RUNNING
                and held.running_since < renewal.sent_at
            ):
                changes.append(self._close(held.run, RunOutcome.ENDED))
            elif (
                held.state is ReservationState.UNCERTAIN
                and renewal.sent_at >= held.since
                and reply.clock_s > held.deadline_s
            ):
                changes.append(self._close(held.run, RunOutcome.NEVER_STARTED))
        return changes

    def _hold(self, held: Reservation) -> None:
        self._reservations[held.run] = held
        self._free = None

    def _close(self, run: Run, fate: RunOutcome) -> RunClosed:
        held = self._reservations.pop(run)
        self._free = None
        if held.needs is None:
            self._unknown_sizes -= 1
        return RunClosed(run, fate)

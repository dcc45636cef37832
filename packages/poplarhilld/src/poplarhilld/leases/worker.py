"""State of one leased worker: its free capacity, its runs, and what renewals ask."""

import math
from collections.abc import Callable, Collection

from poplarhill.types import Resources
from poplarhilld.catalogue import WorkerEntry
from poplarhilld.leases.lease import MAX_REPLY_AGE_S, Lease
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
from poplarhilld.leases.reservation import (
    LAPSED,
    UNLIMITED,
    Offered,
    Reservation,
    ReservationState,
)

# A worker refuses a start order that arrives later than this after it was sent. An
# order without a reply keeps its capacity reserved for at least this long, until a
# later renewal shows that the run never started or has ended.
ORDER_VALIDITY_S = 0.5
# Longest time that a worker may hold a renewal. Two renewals may fail before a lease
# of 1 s expires.
RENEWAL_WAIT_S = 0.4
# While a run keeps the lease from being extended: soon after the run has ended or its
# offer was repeated, the others on the worker need the next renewal.
_SHORT_RENEWAL_WAIT_S = 0.1
_SHORT_LEASE_S = 0.6  # an offer that is repeated in time leaves more
# Ends that are remembered. The reply to an overlapping request may hold an older list
# of running runs, which must not bring back a run that has ended. Fewer runs than this
# end on a worker between two such replies.
_MAX_RECENT_ENDS = 256

RunChange = RunClosed | RunDiscovered


class LeasedWorker(Lease):
    """A worker whose lease this host holds or claims.

    A run gives up its capacity only on proof that it does not run: the worker
    reports its end, no longer lists it, refuses the order or cannot execute the
    order any more.

    Attributes:
        entry: Registry entry of the worker.
        listed_at: When the renewal was sent whose reply was the last one but one, by
            the leader's clock, s. Runs in that reply had not ended by then.
        reservations: Reservations of all runs that hold or may hold capacity; a
            read-only view.

    Args:
        entry: Registry entry of the worker.
        token: Fencing token of this host for the worker.
        lease_s: Longest lease that a worker grants, s.
        now: The leader's clock, s.
        note_change: Called with its name when its free capacity may have changed,
            but not when its entry is replaced.
        stops_s: Time that it may take to stop a run whose offer has lapsed, s.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        token: int,
        lease_s: float,
        now: float,
        note_change: Callable[[str], object] = lambda name: None,
        stops_s: float = 0.2,
    ) -> None:
        super().__init__(token, lease_s, now)
        self.entry = entry
        self._note_change, self._stops_s = note_change, stops_s
        self.listed_at = self._newest_list_at = now
        self._last_seen_end = 0
        self._reservations: dict[Run, Reservation] = {}
        self.reservations: Collection[Reservation] = self._reservations.values()
        self._unknown_needs = 0
        self._unreadable_runs = 0
        self._free_capacity: Resources | None = None
        self._free_capacity_entry = entry
        # The newest last; a dictionary, since each reply looks up all listed runs.
        self._recent_ends: dict[Run, None] = {}

    @property
    def runs_known_at(self) -> float | None:
        """As of when all runs on the worker are known, by the leader's clock, s.

        `None` if they are not: the worker has not replied under the present token, is
        known to obey a newer one, or has listed a run that could not be read.
        """
        if self.fenced or self._unreadable_runs:
            return None
        return self.confirmed_at

    @property
    def has_unknown_needs(self) -> bool:
        """Whether any run holds an unknown amount of capacity."""
        return self._unknown_needs > 0

    def find(self, run: Run) -> Reservation | None:
        """Return the reservation of a run, or `None` if it has none."""
        return self._reservations.get(run)

    def free_capacity(self) -> Resources:
        """Return the capacity that no run holds.

        It is zero while any run holds an unknown amount of capacity, or could not be
        read from the worker's reply.
        """
        if self._free_capacity is None or self._free_capacity_entry is not self.entry:
            self._free_capacity, self._free_capacity_entry = (
                self._compute_free_capacity(),
                self.entry,
            )
        return self._free_capacity

    def _compute_free_capacity(self) -> Resources:
        if self._unknown_needs or self._unreadable_runs:
            return Resources()
        cores, memory_mb, accelerators = self.entry.room
        for reservation in self.reservations:
            cores -= reservation.needs.cores
            memory_mb -= reservation.needs.memory_mb
            accelerators -= reservation.needs.accelerators
        return Resources(cores, memory_mb, accelerators)

    def _invalidate_free_capacity(self) -> None:
        self._free_capacity = None
        self._note_change(self.entry.name)

    def replace_token(self, now: float, token: int) -> None:
        """Claim the worker under a new token, though no other leader has had it."""
        for reservation in self.reservations:
            if reservation.token == self.token:
                reservation.token = token
        self.reclaim(now, token)

    def was_ordered_earlier(self, run: Run) -> bool:
        """Return whether a run was ordered before the worker was last claimed."""
        reservation = self._reservations.get(run)
        return reservation is not None and reservation.last_event_at < self._claimed_at

    def next_renewal(self, now: float) -> Renewal:
        """Return the renewal to send now and note the lease that it asks for.

        The lease ends when the first run there must have ended unless its offer is
        repeated: this leader may be lost before it has stopped that run, or its stop
        orders may be.
        """
        deadline_s, lease_s = None, self._lease_s
        # Runs for each reply of each worker, so the usual case makes no calls.
        for reservation in self.reservations:
            left_s = reservation.job.offer_lapses_at + self._stops_s - now
            if left_s < lease_s:
                lease_s = left_s
        # If renewals without replies extended the lease, this leader could never
        # conclude that it has expired.
        responds = now - self.last_reply_at <= MAX_REPLY_AGE_S
        if self.incarnation is not None and responds and lease_s > 0:
            deadline_s = self.clock_s(now) + lease_s
            if deadline_s > self._may_run_until_s:
                self._may_run_until_s = deadline_s
        wait_s = 0.0 if self.confirmed_at is None else RENEWAL_WAIT_S
        if lease_s < _SHORT_LEASE_S and wait_s:
            wait_s = _SHORT_RENEWAL_WAIT_S
        return Renewal(self.token, self._last_seen_end, deadline_s, wait_s, now)

    def apply_renewal_reply(
        self, now: float, renewal: Renewal, reply: LeaseReply
    ) -> list[RunChange]:
        """Apply the worker state in the reply to a renewal.

        Returns:
            Runs that were discovered or gave up their capacity.
        """
        changes: list[RunChange] = []
        if self.incarnation != reply.incarnation:
            changes += self._start_incarnation(reply, now - renewal.sent_at)
        self._clock_at_reply_s, self.last_reply_at = reply.clock_s, now
        self.listed_at, self._newest_list_at = self._newest_list_at, renewal.sent_at
        if renewal.token == self.token:
            if self.confirmed_at is None:
                # Another leader may have extended the lease before this reply.
                longest_s = reply.clock_s + self._lease_s
                self._may_run_until_s = max(self._may_run_until_s, longest_s)
                self.confirmed_at = renewal.sent_at
            elif renewal.sent_at > self.confirmed_at:
                self.confirmed_at = renewal.sent_at
        for end in reply.ends:
            if end.sequence > self._last_seen_end:
                self._last_seen_end = end.sequence
                changes += self._apply_end(end.run, end.kind)
        if reply.unreadable_runs != self._unreadable_runs:
            self._unreadable_runs = reply.unreadable_runs
            self._invalidate_free_capacity()
        if reply.running or self._reservations:
            changes += self._apply_running(now, renewal, reply)
        return changes

    def reserve(
        self, now: float, run: Run, needs: Resources, job: Offered = UNLIMITED
    ) -> float:
        """Reserve capacity for a run and return the deadline of its order.

        The deadline is by the worker's clock, s.

        Args:
            now: The leader's clock, s.
            run: The run.
            needs: Capacity that it takes.
            job: What it is done for. It must not start after the offer of that.
        """
        validity_s = job.offer_lapses_at - now
        if validity_s > ORDER_VALIDITY_S:
            validity_s = ORDER_VALIDITY_S
        # The deadline extends the lease of the other runs as well.
        for reservation in self.reservations:
            left_s = reservation.job.offer_lapses_at + self._stops_s - now
            if left_s < validity_s:
                validity_s = left_s
        if validity_s < 0:
            validity_s = 0.0
        deadline_s = self.clock_s(now) + validity_s
        if deadline_s > self._may_run_until_s:
            self._may_run_until_s = deadline_s
        ordered = ReservationState.ORDERED
        self._add(Reservation(run, needs, ordered, deadline_s, job, self.token, now))
        return deadline_s

    def apply_order_reply(
        self, now: float, run: Run, reply: OrderReply
    ) -> list[RunChange]:
        """Apply the reply to an order to start a run."""
        if reply.clock_s is not None:
            self._clock_at_reply_s, self.last_reply_at = reply.clock_s, now
        reservation = self._reservations.get(run)
        if reservation is None or reservation.state is ReservationState.RUNNING:
            return []
        match reply.outcome:
            case OrderOutcome.ACCEPTED:
                reservation.state = ReservationState.RUNNING
                reservation.running_since = now
                if reply.clock_s is not None:
                    reservation.accepted_clock_s = reply.clock_s
                return []
            case OrderOutcome.UNKNOWN:
                reservation.state = ReservationState.UNCERTAIN
                return []
            case _:
                return [self._close_run(run, RunOutcome.NEVER_STARTED)]

    def apply_stop_reply(self, now: float, run: Run) -> None:
        """Note that a worker will not start a run any more.

        The run may have started before. Only a renewal that is sent after this
        can prove that it did not.
        """
        reservation = self._reservations.get(run)
        if reservation is not None:
            reservation.deadline_s = 0.0
            reservation.last_event_at = now

    def set_needs(self, run: Run, needs: Resources) -> None:
        """Set the capacity that a discovered run holds, if it is unknown."""
        reservation = self._reservations.get(run)
        if reservation is not None and reservation.needs is None:
            reservation.needs = needs
            self._unknown_needs -= 1
            self._invalidate_free_capacity()

    def set_job(self, run: Run, job: Offered) -> None:
        """Set what a discovered run is done for."""
        reservation = self._reservations.get(run)
        if reservation is not None:
            reservation.job = job

    def end_is_unknown(self, reservation: Reservation) -> bool:
        """Return whether another leader may have acknowledged the end of a run.

        A reply under the token that the run was ordered or listed under disproves it.
        """
        return self.fenced or reservation.token != self.token

    @property
    def awaits_order_reply(self) -> bool:
        """Whether any order has no reply yet."""
        ordered = ReservationState.ORDERED
        return any(one.state is ordered for one in self.reservations)

    def presumed_ended_runs(self) -> list[Reservation]:
        """Return the runs that have ended once the lease or the process has.

        Orders that still await a reply are left out. The runs keep their capacity
        until the worker confirms their end.
        """
        return [
            reservation
            for reservation in self.reservations
            if reservation.state is not ReservationState.ORDERED
        ]

    def _start_incarnation(self, reply: LeaseReply, took_s: float) -> list[RunChange]:
        """Reset the state for a new incarnation and close the running runs.

        They ended with the previous incarnation. The clock of the new one begins anew,
        so it may have accepted those whose orders were answered at an earlier time of
        the clock. It takes renewals that were sent to the previous one for an
        acknowledgement of their ends. Orders without a known outcome may still reach
        it, so they keep their capacity until they expire.
        """
        first_reply = self.incarnation is None
        self.incarnation = reply.incarnation
        self._last_seen_end = 0
        self._may_run_until_s = reply.clock_s + self._lease_s
        self._recent_ends.clear()
        if first_reply:
            return []
        ended = [
            reservation
            for reservation in self.reservations
            if reservation.state is ReservationState.RUNNING
            and reservation.accepted_clock_s > reply.clock_s + took_s
        ]
        changes = [self._close_missing(one, RunOutcome.LOST) for one in ended]
        for reservation in self.reservations:
            reservation.deadline_s = reply.clock_s + ORDER_VALIDITY_S
            if reservation.state is ReservationState.RUNNING:
                reservation.token = 0
        return changes

    def _apply_end(self, run: Run, kind: RunEndKind) -> list[RunChange]:
        self._recent_ends[run] = None
        if len(self._recent_ends) > _MAX_RECENT_ENDS:
            del self._recent_ends[next(iter(self._recent_ends))]
        if run not in self._reservations:
            # An unknown run, such as one of an earlier leader, is closed like others.
            running = ReservationState.RUNNING
            found = Reservation(run, Resources(), running, 0.0, LAPSED, self.token, 0.0)
            self._add(found)
        match kind:
            case RunEndKind.DONE:
                return [self._close_run(run, RunOutcome.DONE)]
            case RunEndKind.FAILED:
                return [self._close_run(run, RunOutcome.FAILED)]
            case _:
                return [self._close_run(run, RunOutcome.ENDED)]

    def _apply_running(
        self, now: float, renewal: Renewal, reply: LeaseReply
    ) -> list[RunChange]:
        changes: list[RunChange] = []
        ended = self._recent_ends
        listed = {run: None for run in reply.running if run not in ended}
        for run in listed:
            reservation = self._reservations.get(run)
            if reservation is None:
                self._unknown_needs += 1
                running = ReservationState.RUNNING
                token = self.token
                found = Reservation(run, None, running, 0.0, LAPSED, token, now, now)
                self._add(found)
                changes.append(RunDiscovered(run))
                continue
            reservation.token = self.token
            reservation.accepted_clock_s = math.inf
            if reservation.state is not ReservationState.RUNNING:
                reservation.state, reservation.running_since = (
                    ReservationState.RUNNING,
                    now,
                )
                changes.append(RunDiscovered(run))
        if reply.unreadable_runs:
            return changes  # each run that is not listed may be one of them
        for reservation in list(self.reservations):
            if reservation.run in listed:
                continue
            if (
                reservation.state is ReservationState.RUNNING
                and reservation.running_since < renewal.sent_at
            ):
                changes.append(self._close_missing(reservation, RunOutcome.ENDED))
            elif (
                reservation.state is ReservationState.UNCERTAIN
                and renewal.sent_at >= reservation.last_event_at
                and reply.clock_s > reservation.deadline_s
            ):
                never_started = RunOutcome.NEVER_STARTED
                changes.append(self._close_missing(reservation, never_started))
        return changes

    def _add(self, reservation: Reservation) -> None:
        self._reservations[reservation.run] = reservation
        self._invalidate_free_capacity()

    def _close_missing(
        self, reservation: Reservation, outcome: RunOutcome
    ) -> RunClosed:
        """Close a run that the worker lists no more, nor its end."""
        if reservation.token != self.token:
            outcome = RunOutcome.UNKNOWN
        return self._close_run(reservation.run, outcome)

    def _close_run(self, run: Run, outcome: RunOutcome) -> RunClosed:
        reservation = self._reservations.pop(run)
        if reservation.needs is None:
            self._unknown_needs -= 1
        self._invalidate_free_capacity()
        return RunClosed(run, outcome)

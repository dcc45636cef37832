"""Holds the leases on the workers of a leader."""

from poplarhilld.catalogue import WorkerEntry
from poplarhilld.decisions import LogDecision
from poplarhilld.leading.closing import JobCloser
from poplarhilld.leading.fitness import SILENCE_TIMEOUT_S
from poplarhilld.leading.job import LedTask
from poplarhilld.leading.messages import (
    LeaderAction,
    RenewLease,
    WorkerConfirmed,
    WorkerReleased,
    WorkerTaken,
)
from poplarhilld.leading.outcomes import RunOutcomes
from poplarhilld.leading.run_messages import RunPresumedEnded
from poplarhilld.leading.shared import LeaderState, worker_state
from poplarhilld.leases import (
    LeasedWorker,
    LeaseReply,
    Renewal,
    RenewalFailure,
    Reservation,
    ReservationState,
    Run,
    RunClosed,
    RunOutcome,
)

_RENEWAL_RETRY_S = 0.05  # 20 tries within a lease of 1 s
_MAX_RENEWAL_RETRY_S = 0.5  # notices within half a second that a worker is back
# After a refused connection or a reply by another worker: the process has probably
# ended, and it may restart under a new name.
_REFUSED_RETRY_S = 0.2
_RECLAIM_DELAY_S = 0.5  # lets the claim of the other leader reach this host first
# Apart from degraded workers, run times vary by a factor of 4 at most.
_STALL_FACTOR = 4.0
_MIN_STALL_S = 0.25  # a shorter stall costs less than running the task again
_ROUNDING_S = 1e-6  # far more than the rounding error of a sum of times


class WorkerGroup:
    """Claims workers, renews their leases and notices which of them are lost.

    Args:
        state: State of the leader.
        closer: Ends jobs.
        outcomes: Applies what workers report of runs.
    """

    def __init__(
        self, state: LeaderState, closer: JobCloser, outcomes: RunOutcomes
    ) -> None:
        self._state = state
        self._closer = closer
        self._outcomes = outcomes

    def claim(self, now: float, time_s: float, entry: WorkerEntry) -> list:
        """Claim a worker under a new fencing token."""
        token = self._state.tokens.next(time_s)
        limits = self._state.limits
        worker = LeasedWorker(
            entry,
            token,
            self._state.lease_s,
            now,
            self._state.changed_workers.add,
            limits.last_stop_s - limits.lifetime_s,
        )
        self._state.workers[entry.name] = worker
        self._state.note_worker_change()
        return self._request_lease(now, worker, "first claimed by this host")

    def reclaim(self, now: float, time_s: float, worker: LeasedWorker) -> list:
        """Claim a fenced worker again, because this host leads its shard."""
        worker.reclaim(now, self._state.tokens.next(time_s))
        self._state.reclaimed_at = now
        del self._state.reclaim_at[worker.entry.name]
        self._state.note_worker_change()
        return self._request_lease(now, worker, "claimed again after it was fenced")

    def _request_lease(self, now: float, worker: LeasedWorker, reason: str) -> list:
        """Send the first lease renewal to a worker under a new token."""
        renew = RenewLease(worker.entry, worker.next_renewal(now))
        return [self._taken(worker, reason), renew]

    def _taken(self, worker: LeasedWorker, reason: str) -> LogDecision:
        """Return the log line on a worker that is claimed under a new token."""
        entry = worker.entry
        address = f"{entry.address.host}:{entry.address.port}"
        lease_s = self._state.lease_s
        return LogDecision(
            WorkerTaken(entry.name, address, worker.token, reason, lease_s)
        )

    def mark_fenced(
        self, now: float, worker: LeasedWorker, superseded: bool = False
    ) -> list[LeaderAction]:
        """Start no more runs on a worker; its runs go on.

        Args:
            now: The leader's clock, s.
            worker: The worker.
            superseded: Whether it has accepted a newer token. If not, this host no
                longer leads it.
        """
        name = worker.entry.name
        worker.fenced = True
        worker.superseded = worker.superseded or superseded
        self._state.note_worker_change()
        self._state.reclaim_at[name] = now + _RECLAIM_DELAY_S
        return [
            worker_state(
                now, worker, "fenced", "it refused this token, or is no longer led here"
            )
        ]

    def release(self, name: str, reason: str) -> list[LeaderAction]:
        """Remove a worker that this host no longer leads."""
        worker = self._state.workers.pop(name)
        self._state.note_worker_change()
        self._state.placement_up_to_date = False
        self._state.lost.discard(name)
        self._state.refused.discard(name)
        self._state.reclaim_at.pop(name, None)
        self._state.health.forget(name)
        self._state.suspects.forget_worker(name)
        self._state.times.forget(name)
        self._state.lookahead.timeline.forget(name)
        reservations = list(worker.reservations)
        for reservation in reservations:
            self._state.runs.note_closed(name, reservation.run)
            self._closer.forget_run(name, reservation.run)
        released = WorkerReleased(name, worker.token, reason, len(reservations))
        return [LogDecision(released)]

    def handle_renewal_failure(
        self, now: float, worker: LeasedWorker, failure: RenewalFailure
    ) -> list[LeaderAction]:
        """Mark a worker as fenced or lost, or retry its renewal."""
        name = worker.entry.name
        match failure:
            case RenewalFailure.FENCED:
                return self.mark_fenced(now, worker, superseded=True)
            case RenewalFailure.REPLACED:
                self._state.refused.add(name)
                actions = self.mark_lost(now, worker, failure.value, process_ended=True)
                pause_s = _REFUSED_RETRY_S
            case RenewalFailure.REFUSED:
                # A network partition can refuse connections too, so wait for the lease.
                self._state.refused.add(name)
                actions = self.mark_lost(now, worker, failure.value)
                pause_s = _REFUSED_RETRY_S
            case _:
                actions = []
                pause_s = self._state.renewal_backoff_s.get(name, _RENEWAL_RETRY_S)
                self._state.renewal_backoff_s[name] = min(
                    2 * pause_s, _MAX_RENEWAL_RETRY_S
                )
        actions.append(RenewLease(worker.entry, worker.next_renewal(now), pause_s))
        return actions

    def mark_lost(
        self, now: float, worker: LeasedWorker, reason: str, process_ended: bool = False
    ) -> list[LeaderAction]:
        """Mark a worker as lost.

        If its process has ended or its lease has expired, its runs have ended too,
        and their tasks wait for another worker.
        """
        name = worker.entry.name
        actions: list[LeaderAction] = []
        if name not in self._state.lost:
            self._state.lost.add(name)
            self._state.note_worker_change()
            actions.append(worker_state(now, worker, "lost", reason))
        if process_ended or worker.lease_has_expired(now):
            for reservation in worker.presumed_ended_runs():
                run = reservation.run
                task = self._state.runs.task_of(name, run)
                if task is not None and task.run == run:
                    if name in self._state.refused:
                        actions += self._outcomes.note_loss(
                            now, worker, worker.incarnation, run
                        )
                    why = "process ended" if process_ended else "lease expired"
                    actions.append(_presumed_ended(now, worker, run, why))
                    self._closer.forget_run(name, run)
                    task.avoid.add(name)
                    if worker.end_is_unknown(reservation):
                        actions += self._outcomes.give_up(now, task)
        return actions

    def check_workers(self, now: float) -> list[LeaderAction]:
        """Notice the workers that no longer respond, and the runs that stall."""
        actions: list[LeaderAction] = []
        entries, runs = self._state.entries, self._state.runs
        any_stopping = runs.any_stopping
        # Runs for each worker on each tick, so the usual case makes no calls.
        for worker in list(self._state.workers.values()):
            name = worker.entry.name
            if (
                worker.fenced
                or name not in entries
                or now - worker.last_reply_at > SILENCE_TIMEOUT_S
            ):
                found = self._check_lease(now, worker)
                if found is not None:
                    actions += found
                    continue
            for reservation in worker.reservations:
                if any_stopping and runs.is_stopping(name, reservation.run):
                    actions += self._closer.stop_run(
                        now, worker, reservation.run, "it has not ended yet"
                    )
                elif (
                    reservation.state is ReservationState.RUNNING
                    and now - reservation.running_since >= _MIN_STALL_S
                    and now >= reservation.stall_check_at
                ):
                    task = runs.task_of(name, reservation.run)
                    if task is not None:
                        actions += self._check_stall(now, worker, task, reservation)
        return actions

    def _check_lease(
        self, now: float, worker: LeasedWorker
    ) -> list[LeaderAction] | None:
        """Release a worker, mark it as lost, or return that its runs are to be checked.

        Returns:
            `None` if its runs are to be checked.
        """
        name = worker.entry.name
        if worker.fenced:
            if name in self._state.entries:
                return []
            given_up_at = self._state.reclaim_at[name]
            given_up_at += self._state.limits.runs_ended_after_s
            # Waiting proves nothing of runs that this host can't list any more.
            superseded = worker.superseded and not worker.awaits_order_reply
            if superseded or now > given_up_at:
                reason = "led by another host or no longer registered"
                return self._release_with_runs(now, worker, reason)
            return []
        idle = not worker.reservations
        if name not in self._state.entries and (idle or worker.lease_has_expired(now)):
            reason = "this host no longer leads it, or it is no longer registered"
            return self._release_with_runs(now, worker, reason)
        if worker.confirmed and now - worker.last_reply_at > SILENCE_TIMEOUT_S:
            return self.mark_lost(now, worker, "silent")
        return None

    def _release_with_runs(
        self, now: float, worker: LeasedWorker, reason: str
    ) -> list[LeaderAction]:
        """Release a worker.

        The tasks of the runs left on it may start again, unless another leader may
        have acknowledged the ends of these runs.
        """
        name = worker.entry.name
        actions: list[LeaderAction] = []
        for reservation in worker.reservations:
            run = reservation.run
            actions.append(_presumed_ended(now, worker, run, reason))
            task = self._state.runs.task_of(name, run)
            if task is not None and worker.end_is_unknown(reservation):
                actions += self._outcomes.give_up(now, task)
        return actions + self.release(name, reason)

    def _check_stall(
        self, now: float, worker: LeasedWorker, task: LedTask, reservation: Reservation
    ) -> list[LeaderAction]:
        """Stop a stalled run so that its task moves, if that can meet the deadline.

        The next run of the task may take twice as long: if its time is up as well, the
        task may be longer than expected, rather than both workers at a standstill.
        """
        job = self._state.runs.job_of(task.name)
        expected_s = job.expected_s(task)
        limit_s = max(_STALL_FACTOR * expected_s, expected_s + _MIN_STALL_S)
        limit_s *= 2**task.stalls
        if now - reservation.running_since < limit_s:
            check_at = reservation.running_since + limit_s - _ROUNDING_S
            reservation.stall_check_at = check_at
            return []
        if now + expected_s > job.deadline:
            return []
        name = worker.entry.name
        self._state.health.note_stall(name, reservation.run)
        task.avoid.add(name)
        task.stalls += 1
        return self._closer.stop_run(now, worker, reservation.run, "it stalls")

    def apply_reply(
        self, now: float, worker: LeasedWorker, renewal: Renewal, reply: LeaseReply
    ) -> list[LeaderAction]:
        """Apply what a worker replies about its runs."""
        name = worker.entry.name
        actions: list[LeaderAction] = []
        was_confirmed = worker.confirmed_at is not None
        incarnation = worker.incarnation
        changes = worker.apply_renewal_reply(now, renewal, reply)
        if self._state.sets_known_at:
            self._state.sets_known_at.clear()
        if not was_confirmed:
            self._state.placement_up_to_date = False
            self._state.note_worker_change()
            confirmed = WorkerConfirmed(
                name, worker.token, len(reply.running), now - renewal.sent_at
            )
            actions.append(LogDecision(confirmed))
        if name in self._state.lost:
            self._state.lost.discard(name)
            self._state.refused.discard(name)
            self._state.placement_up_to_date = False
            self._state.note_worker_change()
            actions.append(worker_state(now, worker, "back", "responds again"))
        for change in changes:
            if isinstance(change, RunClosed) and change.outcome is RunOutcome.LOST:
                actions += self._outcomes.note_loss(
                    now, worker, incarnation, change.run
                )
            actions += self._outcomes.apply_change(now, worker, change)
        if incarnation not in (None, worker.incarnation):
            actions.append(self._replace_token(now, worker))
        return actions

    def _replace_token(self, now: float, worker: LeasedWorker) -> LeaderAction:
        """Take a new token for a worker whose process has restarted.

        Its clock begins anew, so a delayed order to its former process would not have
        expired there, but is refused for its token.
        """
        above = worker.token
        worker.replace_token(now, self._state.tokens.next(0.0, above))
        self._state.note_worker_change()
        return self._taken(worker, "its process has restarted")


def _presumed_ended(
    now: float, worker: LeasedWorker, run: Run, reason: str
) -> LogDecision:
    """Return the log line on a run that counts as ended without a report of it."""
    presumed = RunPresumedEnded(
        run.task,
        run.number,
        worker.entry.name,
        reason,
        round(worker.lease_left_s(now), 4),
        round(now - worker.last_reply_at, 4),
    )
    return LogDecision(presumed)

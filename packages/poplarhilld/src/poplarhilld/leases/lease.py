"""The lease on a worker: the token that it is held under, and when it ends."""

import math

# Another leader may have renewed the lease just before it expired; it stops the
# orphans on the worker within this time.
TAKEOVER_GRACE_S = 0.8
# A renewal extends the lease only if the last reply is no older than this. While
# renewals are answered, each one follows the last reply within 0.4 s. A worker counts
# as responsive for twice this time after its last reply, and is given the same time
# to reply first after it was claimed.
MAX_REPLY_AGE_S = 0.5
# The clock of a worker may be 2 % slow; another 1 % covers rounding.
LONGEST_LEASE_FACTOR = 1 / 0.97


class Lease:
    """The lease on a worker, as far as this host knows.

    Attributes:
        token: Fencing token of this host for the worker.
        fenced: Whether this host must start no runs on the worker, because the
            worker has accepted a newer token or this host no longer leads it.
        superseded: Whether the worker has accepted a newer token.
        confirmed_at: When the newest request was sent that the worker has answered
            under the present token, by the leader's clock, s; `None` before the first
            one. It obeyed that token then, and may have accepted a newer one since.
        incarnation: When the worker's process started, ms since the Unix epoch; `None`
            before a reply.
        last_reply_at: When the worker last replied, by the leader's clock, s. Before
            the first reply, this is when this host first claimed the worker.

    Args:
        token: Fencing token of this host for the worker.
        lease_s: Longest lease that a worker grants, s.
        now: The leader's clock, s.
    """

    def __init__(self, token: int, lease_s: float, now: float) -> None:
        self.token = token
        self.fenced = self.superseded = False
        self.confirmed_at: float | None = None
        self._claimed_at = now
        self._lease_s = lease_s
        self.incarnation: int | None = None
        self.last_reply_at = now
        self._clock_at_reply_s = 0.0
        # By the worker's clock: end of the lease, or deadline of an order if later.
        self._may_run_until_s = 0.0

    @property
    def confirmed(self) -> bool:
        """Whether the worker has ever accepted the present token of this host."""
        return self.confirmed_at is not None

    @property
    def claimed_at(self) -> float:
        """When this host last claimed the worker, by the leader's clock, s."""
        return self._claimed_at

    @property
    def expires_at(self) -> float:
        """When it ends if no leader extends it, by the leader's clock, s.

        Allows for a slow clock of the worker; infinity before a reply.
        """
        if self.incarnation is None:
            return math.inf
        left_s = max(0.0, self._may_run_until_s - self._clock_at_reply_s)
        return self.last_reply_at + left_s * LONGEST_LEASE_FACTOR

    def awaits_first_reply(self, now: float) -> bool:
        """Return whether the worker was claimed just now and may still reply."""
        waited_s = now - self._claimed_at
        return self.confirmed_at is None and waited_s < 2 * MAX_REPLY_AGE_S

    def is_responsive(self, now: float) -> bool:
        """Return whether the worker accepted this token and replied recently."""
        silent_s = now - self.last_reply_at
        return self.confirmed_at is not None and silent_s < 2 * MAX_REPLY_AGE_S

    def reclaim(self, now: float, token: int) -> None:
        """Claim the worker again under a new token."""
        self.token = token
        self.fenced = self.superseded = False
        self._claimed_at = now
        self.confirmed_at = None

    def clock_s(self, now: float) -> float:
        """Return the estimated clock of the worker, s.

        The estimate lags slightly, by the time that the last reply took to arrive.
        """
        return self._clock_at_reply_s + now - self.last_reply_at

    def lease_left_s(self, now: float) -> float:
        """Return the time for which the worker may run anything by its clock, s."""
        return self._may_run_until_s - self.clock_s(now)

    def lease_has_expired(self, now: float) -> bool:
        """Return whether a worker without replies can no longer run anything.

        Allows for a slow clock of the worker and for a last renewal by another
        leader.
        """
        return now > self.expires_at + TAKEOVER_GRACE_S

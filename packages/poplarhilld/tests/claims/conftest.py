"""Hosts that claim keys through a log in memory, one step at a time."""

import pytest

from poplarhill.platform import (
    Appended,
    AppendRefused,
    AppendUnknown,
    Batch,
    Record,
    Truncated,
    Unavailable,
)
from poplarhill.types import JobSpec
from poplarhilld.claims import (
    AppendClaims,
    ClaimsAppendDue,
    ClaimsAppended,
    ClaimsRead,
    ClaimState,
    ReadClaims,
    ScheduleClaimsAppend,
)
from poplarhilld.claims.messages import Ended, Won
from poplarhilld.jobs import Completed

WINDOW_S = 100.0
READ_LIMIT = 3


class Log:
    """The claims stream in memory.

    Attributes:
        now: Time of the log and of every host, s.
        records: All records ever appended.
        earliest: Offset of the oldest record that is kept.
        down: Whether reads and appends fail.
        late: Bodies of appends that have not taken effect yet.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.records: list[Record] = []
        self.earliest = 0
        self.down = False
        self.late: list[str] = []

    def append(self, body: str) -> int:
        """Append a record and return its offset."""
        self.records.append(Record(len(self.records), self.now, body))
        return len(self.records) - 1

    def truncate(self) -> None:
        """Drop every record."""
        self.earliest = len(self.records)

    def read(self, offset: int):
        """Return the result of a read, as the platform does."""
        if self.down:
            return Unavailable("down")
        if offset < self.earliest:
            return Truncated(self.earliest)
        found = tuple(self.records[offset : offset + READ_LIMIT])
        end = len(self.records)
        return Batch(found, offset + len(found), end, self.now)


class Host:
    """One incarnation of an entry host.

    Attributes:
        pending: Requests to the log that have not been carried out.
        specs: Every job submitted, by id.
        won: End of the lease of each job that has won and was not sent, by id, s.
        outcomes: Outcomes by job id.
        sent: Ids of the jobs that were sent.
    """

    def __init__(self, log: Log, name: str, incarnation: int, hosts: int = 2) -> None:
        self.log = log
        self.name = name
        self.state = ClaimState(name, incarnation, hosts, WINDOW_S)
        self.pending: list = []
        self.specs: dict[str, JobSpec] = {}
        self.won: dict[str, float] = {}
        self.outcomes: dict[str, object] = {}
        self.sent: list[str] = []
        self.joined: set[str] = set()

    def process(self, outputs: list) -> None:
        """Record verdicts and queue requests to the log."""
        for output in outputs:
            match output:
                case Won(job_id, send_by):
                    self.won[job_id] = send_by
                case Ended(job_id, outcome):
                    self.end(job_id, outcome)
                case AppendClaims() | ReadClaims() | ScheduleClaimsAppend():
                    self.pending.append(output)

    def submit(self, job_id: str, key: str = "k", body: bytes = b"x") -> None:
        """Submit a keyed job."""
        spec = JobSpec(job_id, "booking", "c", (body,), 1e9, idempotent=False, key=key)
        self.specs[job_id] = spec
        self.process(self.state.claim_key(self.log.now, spec))

    def end(self, job_id: str, outcome: object) -> None:
        """Set the outcome of a job, unless it has one."""
        if job_id not in self.outcomes:
            self.outcomes[job_id] = outcome
            self.won.pop(job_id, None)
            self.process(self.state.record_outcome(self.log.now, job_id, outcome))

    def send(self, job_id: str) -> bool:
        """Send a job that has won, unless its lease has ended."""
        send_by = self.won.pop(job_id, None)
        if send_by is None or self.log.now >= send_by:
            return False
        self.sent.append(job_id)
        return True

    def step(self, append: str = "ok") -> None:
        """Carry out the oldest request.

        Args:
            append: How an append ends: `ok`; `refused`; `lost answer` if it takes
                effect, `lost` if it does not, and `late` if it does so later, all
                three without a confirmation.
        """
        if not self.pending:
            return
        match self.pending.pop(0):
            case AppendClaims(batch, body):
                event = ClaimsAppended(batch, self._append(append, body))
            case ReadClaims(offset):
                event = ClaimsRead(offset, self.log.read(offset))
            case ScheduleClaimsAppend():
                event = ClaimsAppendDue()
        self.process(self.state.receive(self.log.now, event))

    def settle(self, append: str = "ok", steps: int = 60) -> None:
        """Carry out requests until none are left; time passes during delays."""
        for _ in range(steps):
            if not self.pending:
                return
            if isinstance(self.pending[0], ScheduleClaimsAppend):
                self.log.now += self.pending[0].delay_s
            self.step(append)

    def tick(self, append: str = "ok") -> None:
        """Let the host poll the log and process the result."""
        self.process(self.state.tick(self.log.now))
        self.settle(append)

    def complete(self, job_id: str) -> None:
        """Complete a job that was sent."""
        self.end(job_id, Completed((b"done",)))

    def kind(self, job_id: str) -> str | None:
        """Return `complete`, the kind of failure, or `None` without an outcome."""
        outcome = self.outcomes.get(job_id)
        if isinstance(outcome, Completed):
            return "complete"
        return outcome.kind.value if outcome is not None else None

    def _append(self, how: str, body: str):
        if self.log.down or how == "refused":
            return AppendRefused("down")
        match how:
            case "lost answer":
                self.log.append(body)
                return AppendUnknown("timeout")
            case "lost":
                return AppendUnknown("timeout")
            case "late":
                self.log.late.append(body)
                return AppendUnknown("timeout")
        return Appended(self.log.append(body))


@pytest.fixture
def log() -> Log:
    return Log()


@pytest.fixture
def start(log):
    """Return a function that starts a host and lets it read the log."""

    def start_host(name: str = "h1", incarnation: int = 1) -> Host:
        host = Host(log, name, incarnation)
        host.tick()
        return host

    return start_host


@pytest.fixture
def new_log() -> type[Log]:
    """Return the class of logs, for tests that make several."""
    return Log


@pytest.fixture
def new_host() -> type[Host]:
    """Return the class of hosts, for tests that make several."""
    return Host

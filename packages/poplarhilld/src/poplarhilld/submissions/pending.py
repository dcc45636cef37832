"""A submitted job that is not yet answered."""

from dataclasses import dataclass, field

from poplarhilld.submissions.messages import Submission


@dataclass
class PendingJob:
    """A submitted job that is not yet answered.

    Attributes:
        number: Number of the submission.
        submission: The job as the caller submitted it.
        received_at: When it was submitted, by the host's clock, s.
        leader: Name of the leader that it was offered to last, if any.
        tenure: Epoch since which that leader leads; if it changes, the leader has
            lost the job.
        offers: Count of offers, including repeated ones.
        handovers: Count of changes of its leader or of the tenure; -1 before the
            first leader was chosen.
        next_offer: When the offer is repeated, by the host's clock, s.
        done: Numbers of the tasks that are done.
        refused_by: Leaders that could run it on evacuated workers only.
        may_have_run: Whether a leader that gave it back had ordered runs of it.
        transfers: Count of offers to another leader after it was given back untouched.
        led_nearby: Whether its leader led workers in this host's data centre.
        workers_digests: Digests of its leader's workers, as told in the last offer; the
            leader orders runs only on these.
        former_workers: Such digests of the earlier leaders that may have runs of it.
    """

    number: int
    submission: Submission
    received_at: float
    leader: str = ""
    tenure: int = 0
    offers: int = 0
    handovers: int = -1
    next_offer: float = 0.0
    done: set[int] = field(default_factory=set)
    refused_by: set[str] = field(default_factory=set)
    may_have_run: bool = False
    transfers: int = 0
    led_nearby: bool = False
    workers_digests: tuple[int, ...] = ()
    former_workers: tuple[int, ...] = ()

    @property
    def deadline(self) -> float:
        """When its caller is answered at the latest, by the host's clock, s."""
        return self.received_at + self.submission.limit_s

    @property
    def needs_cores(self) -> float:
        """Cores that all its tasks need together."""
        return sum(s.count * s.needs.cores for s in self.submission.steps)

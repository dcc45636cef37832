"""Which leaders a job may be offered to that another leader has given back."""

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from poplarhilld.locality import OFF, time_lost_by_data_s
from poplarhilld.peers.messages import JobEnded, StepSpec
from poplarhilld.submissions.choice import expected_end_s, has_free_cores
from poplarhilld.submissions.lateness import without_late
from poplarhilld.submissions.messages import LeaderView

# Each transfer costs a round trip and a decision at a leader. After two leaders that
# had reported capacity and had none, reports are too old to go by.
MAX_TRANSFERS = 2
# Reports are a heartbeat old and the estimates rough, so that a wait has to be this
# much shorter to be worth another offer.
_CLEARLY_SHORTER = 0.5


class JobTransferred(NamedTuple):
    """Log line: a job that a leader gave back is offered to another one.

    Attributes:
        job: Id of the job.
        former: Leader that gave it back.
        leader: Leader that it is offered to.
        transfers: How often it was transferred, this time included.
        wait_s: How long it would have waited at the former leader, s; 0 if that
            refused it for another reason.
        run_s: Its run time, as the former leader has learned it, s.
        left_s: Time until its deadline, s.
        candidates: Count of the leaders that it might have been offered to.
    """

    job: str
    former: str
    leader: str
    transfers: int
    wait_s: float
    run_s: float
    left_s: float
    candidates: int


class TransferCounts:
    """Counts of the jobs that leaders gave back, by what became of them.

    Attributes:
        counts: `offered` to another leader, `stands` if the refusal was answered, and
            `completed` after a transfer.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter(offered=0, stands=0, completed=0)


def find_targets(
    leaders: Mapping[str, LeaderView],
    needs_cores: float,
    left_s: float,
    report: JobEnded,
    steps: tuple[StepSpec, ...] = (),
    remote_slowdown: float = OFF,
) -> dict[str, LeaderView]:
    """Return the leaders that a job may be offered to, without those that had it.

    Such a leader has to report enough free cores, or a clearly shorter wait than at
    the leader that gave the job back, and the job has to end there in time.

    Args:
        leaders: Leaders that the job was not offered to.
        needs_cores: Cores that all tasks of the job need together.
        left_s: Time until its deadline, s.
        report: Refusal of the leader that gave it back.
        steps: Steps of the job.
        remote_slowdown: Factor on run times outside the rack of the data.
    """
    if left_s < report.run_s:
        return {}
    targets: dict[str, LeaderView] = {}
    for name, leader in without_late(leaders).items():
        if leader.load.late or leader.load.cores <= 0:
            continue
        end_s = expected_end_s(leader, needs_cores, report.run_s)
        if remote_slowdown > OFF:
            end_s += time_lost_by_data_s(leader, steps, remote_slowdown)
        shorter = end_s - report.run_s <= _CLEARLY_SHORTER * report.wait_s
        if end_s <= left_s and (shorter or has_free_cores(leader.load, needs_cores)):
            targets[name] = leader
    return targets

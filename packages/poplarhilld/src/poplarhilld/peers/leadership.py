"""Messages about leaders and the jobs that they run. Any of them may be lost."""

from typing import NamedTuple

from poplarhill.types import Resources
from poplarhilld.evacuation.messages import Evacuation
from poplarhilld.locality.messages import RackLoad

UNKNOWN_WORKERS = 0  # in place of the digests of workers that are not known


class StepSpec(NamedTuple):
    """One step of a job: a number of equal tasks.

    Attributes:
        count: Count of tasks.
        needs: Resources that each task takes on its worker.
        run_time_s: Declared run time of a task, a rough estimate, s.
        after: Numbers of the steps whose tasks must all be done before this step.
        label: Label that a worker must have; empty if any worker will do.
        max_per_worker: Most tasks of the step on one worker; 0 for no limit.
        data_rack: Rack that holds the data of the step; empty if there is none.
    """

    count: int
    needs: Resources
    run_time_s: float
    after: tuple[int, ...] = ()
    label: str = ""
    max_per_worker: int = 0
    data_rack: str = ""


class JobOffer(NamedTuple):
    """A job as an entry host offers it to a leader.

    An answer is in time within `stretch` times the expected run time of the job
    plus `allowance_s`.

    Attributes:
        job_id: Id that the caller chose.
        route: Name of the route that the caller used.
        service: Service whose workers run the job.
        body: Input of the tasks.
        steps: Steps of the job.
        priority: Priority of the route; 0 is the highest.
        max_attempts: Count of failed runs after which a task has failed.
        stretch: Factor on the expected run time, see above.
        allowance_s: Time added to the stretched run time, see above, s.
        elapsed_s: Time since the entry host received the job, s.
        left_s: Time until the caller's deadline, s.
        handovers: Count of earlier leaders that the job was offered to.
        done: Numbers of the tasks that are known to be done.
        former_workers: Digests of the sets of workers on which the earlier leaders may
            have ordered runs of the job; 0 stands for workers that are not known.
    """

    job_id: str
    route: str
    service: str
    body: str
    steps: tuple[StepSpec, ...]
    priority: int
    max_attempts: int
    stretch: float
    allowance_s: float
    elapsed_s: float
    left_s: float
    handovers: int = 0
    done: tuple[int, ...] = ()
    former_workers: tuple[int, ...] = ()


class JobWithdrawn(NamedTuple):
    """Withdraws a job: none of its tasks may start any more.

    Attributes:
        job_id: Id of the job.
        cancelled: Whether a caller cancelled the job, which ends it for all entry
            hosts that submitted it.
    """

    job_id: str
    cancelled: bool = False


class LostWorker(NamedTuple):
    """A process of a worker that a leader has lost.

    Attributes:
        worker: Name of the worker.
        incarnation: When the process started, ms since the Unix epoch.
    """

    worker: str
    incarnation: int


class TaskLosses(NamedTuple):
    """The workers that were lost while they ran, or may have run, a task.

    Attributes:
        task: Name of the task, unique in the fleet.
        lost: The workers; each has crashed or is only unreachable.
    """

    task: str
    lost: tuple[LostWorker, ...]


class JobProgress(NamedTuple):
    """Reports to an entry host which tasks of its job are done.

    A report of lost workers, or of done tasks by name, is about the tasks of any jobs.
    It names no job, and all hosts get it, since any may lead these jobs next or may
    have accepted them.

    Attributes:
        job_id: Id of the job; empty in a report of lost workers.
        done: Numbers of the tasks done since the last report.
        losses: Workers that were lost under tasks since the last report.
        done_tasks: Names of done tasks of jobs that the sender does not have.
    """

    job_id: str
    done: tuple[int, ...] = ()
    losses: tuple[TaskLosses, ...] = ()
    done_tasks: tuple[str, ...] = ()


class JobEnded(NamedTuple):
    """Reports to an entry host the outcome of its job.

    Attributes:
        job_id: Id of the job.
        error: Kind of the failure; empty if the job is complete.
        detail: One sentence that describes the failure.
        retry_after_s: Time after which to retry, s; 0 if a retry does not help.
        not_run: Whether no task of the job was ever started.
        elsewhere: Whether another leader may run the job, and no run of it is left
            here: the only workers for it here are evacuated, or nothing of it was
            ordered and it is refused as overloaded.
        done: Numbers of all tasks that are done, if another leader may run the job.
        wait_s: How long an overloaded leader expects the job to wait, s; 0 if that is
            not why it gives the job back.
        run_s: Run time of a job that an overloaded leader gives back, as it has
            learned, s.
        number: Number of the submission that has failed; 0 if the report is about all
            submissions of the job.
    """

    job_id: str
    error: str = ""
    detail: str = ""
    retry_after_s: float = 0.0
    not_run: bool = False
    elsewhere: bool = False
    done: tuple[int, ...] = ()
    wait_s: float = 0.0
    run_s: float = 0.0
    number: int = 0


JobReport = JobProgress | JobEnded


class OfferedJob(NamedTuple):
    """Offers a job to a leader.

    Attributes:
        number: Sequence number of the submission at the sender; distinguishes
            submissions of one job id.
        offer: The job.
        tenure: Epoch since which the leader has led, as the sender knows.
        repeated: Whether the job was offered to that leader and tenure before.
        sent_at_s: When it was sent, by the sender's clock, s.
        workers_digests: Digests of the leader's workers in its last heartbeat that the
            sender received; runs of the job are ordered only on these. None if they
            are not known, which allows all.
        leader_clock_s: A time that the leader's clock has passed when it was sent, as
            the sender knows from the leader's heartbeats, s; `None` if it knows none.
    """

    number: int
    offer: JobOffer
    tenure: int = 0
    repeated: bool = False
    sent_at_s: float = 0.0
    workers_digests: tuple[int, ...] = ()
    leader_clock_s: float | None = None


class Claim(NamedTuple):
    """States that the sender leads a shard; not a claim on an Idempotency-Key.

    Attributes:
        shard: Name of the shard.
        epoch: Epoch of the leadership; it rises with each change of leader.
        workers: Count of workers in the shard.
    """

    shard: str
    epoch: int
    workers: int = 0


class Load(NamedTuple):
    """Load of a leader.

    Attributes:
        cores: Total cores of the workers to which the leader assigns tasks.
        free_cores: Cores of these workers that no run holds.
        queued_core_s: Work of the jobs that wait, in core-seconds.
        busy: Share of the host's processor that was in use during the last seconds,
            in tenths.
        late: Whether the host refuses new jobs because its event loop is late, or
            did so in the last second.
        racks: Racks with workers of the leader in which a task has to wait; at most 16,
            and none where the settings give no slowdown.
    """

    cores: float = 0.0
    free_cores: float = 0.0
    queued_core_s: float = 0.0
    busy: float = 0.0
    late: bool = False
    racks: tuple[RackLoad, ...] = ()


class LeaderDigest(NamedTuple):
    """What a leader reports of another leader.

    Attributes:
        name: Name of the other leader.
        host: IP address on which it listens for peers.
        port: TCP port on which it listens for peers.
        data_centre: Its data centre.
        led_data_centres: Data centres in which it leads shards.
        tenure: Epoch since which it has led without a break.
        load: Load that it reported last.
        led_shards: The shards that it leads, if tasks are placed near their data.
        workers_digests: Digests of its workers.
    """

    name: str
    host: str
    port: int
    data_centre: str
    led_data_centres: tuple[str, ...]
    tenure: int
    load: Load
    led_shards: tuple[str, ...] = ()
    workers_digests: tuple[int, ...] = ()


class Beat(NamedTuple):
    """Heartbeat between hosts behind the adapter, which may lead shards.

    Shows that the sender is alive and which shards it leads. Daemons send
    `Heartbeat` instead.

    Attributes:
        host: IP address on which the sender listens for peers.
        port: TCP port on which the sender listens for peers.
        data_centre: Data centre of the sender.
        incarnation: Start time of the sender's process, ms since the Unix epoch.
        weight: CPU capacity of the sender: its count of cores times their speed; 1 is
            the usual speed.
        able: Whether the sender can lead: it has read the list of workers.
        leaving: Whether the sender is shutting down.
        heard: Names of the hosts whose heartbeats the sender received recently.
        claims: Shards that the sender leads.
        known: Addresses of the hosts in `heard`, as `ip:port`; only in some
            heartbeats.
        version: Version of the catalogue in force at the sender.
        tenure: Epoch since which the sender has led without a break; 0 if it leads
            no shard.
        load: Load of the sender as a leader.
        leaders: What a leader reports to nearby hosts of the other leaders.
        nearby: Whether the sender takes the receiver for a nearby host, so that
            `heard` lists all hosts that are nearby to the sender.
        outdated: Whether the sender leads and has not read the list of workers for
            some time; hosts that have read it then send it a `WorkersReport`.
        evacuations: The evacuations in force in the sender's copy.
        evacuations_end: Offset of the first record of the store that this copy does
            not include; 0 if the sender has not seen any evacuation.
        workers_digests: Digests of the sets of workers on which the sender may have
            runs, one for each data centre.
        sent_at_s: When a leader sent it, by the sender's clock, s; 0 from others.
        oldest_offer_at_s: Time by the sender's clock after which the runs were offered
            that it may leave as a leader, s; 0 if that is not known. A run rests on the
            newest offer of its job.
    """

    host: str
    port: int
    data_centre: str
    incarnation: int
    weight: float
    able: bool
    leaving: bool = False
    heard: tuple[str, ...] = ()
    claims: tuple[Claim, ...] = ()
    known: tuple[str, ...] = ()
    version: int = 0
    tenure: int = 0
    load: Load = Load()
    leaders: tuple[LeaderDigest, ...] = ()
    nearby: bool = False
    outdated: bool = False
    evacuations: tuple[Evacuation, ...] = ()
    evacuations_end: int = 0
    workers_digests: tuple[int, ...] = ()
    sent_at_s: float = 0.0
    oldest_offer_at_s: float = 0.0


class ReducedWorker(NamedTuple):
    """A worker that takes fewer tasks than before.

    Attributes:
        worker: Name of the worker.
        draining: Whether it accepts no new tasks.
        room: Its capacity for tasks.
    """

    worker: str
    draining: bool
    room: Resources


class WorkersReport(NamedTuple):
    """Tells a leader that can't read the list of workers which take fewer tasks.

    Attributes:
        reduced: The workers, as the sender has just read them.
    """

    reduced: tuple[ReducedWorker, ...]

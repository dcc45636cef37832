"""Types shared by the slices: jobs, tasks and workers."""

from typing import NamedTuple

MAX_TASKS_PER_JOB = 160


class Address(NamedTuple):
    """Where a process listens.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> "Address":
        """Return the address written as `ip:port`.

        Raises:
            ValueError: It is not written so.
        """
        host, _, port = text.rpartition(":")
        parts = host.split(".")
        if len(parts) != 4 or not all(p.isdecimal() and int(p) < 256 for p in parts):
            raise ValueError(f"{text!r} is not an IP address and a port")
        if not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValueError(f"{text!r} has no port from 1 to 65535")
        return cls(host, int(port))


class TaskId(NamedTuple):
    """One task of one submission.

    Attributes:
        job: Id of the submission, unique across the fleet.
        index: Position in the job, from 0.
    """

    job: str
    index: int

    def __str__(self) -> str:
        return f"{self.job}/{self.index}"


class Resources(NamedTuple):
    """What a task declares that it needs on a worker.

    Attributes:
        cores: Processor cores.
        memory_mb: Memory in megabytes.
        accelerators: Accelerators.
    """

    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


class JobSpec(NamedTuple):
    """A job as submitted.

    Attributes:
        job_id: Id of the submission.
        service: Name of the service that runs it.
        customer: Name of the customer that it counts against.
        tasks: Opaque task bodies, 1 to `MAX_TASKS_PER_JOB`.
        deadline: Time by which the answer is due, in the host's own clock, s.
        idempotent: Whether running it again does no harm.
        key: Idempotency key, if the caller gave one.
        resources: Declared needs of each task.
        run_time_s: Declared run time of a task, if any.
    """

    job_id: str
    service: str
    customer: str
    tasks: tuple[bytes, ...]
    deadline: float
    idempotent: bool = True
    key: str | None = None
    resources: Resources = Resources()
    run_time_s: float | None = None


class WorkerSpec(NamedTuple):
    """A worker, as the configuration describes it.

    Attributes:
        name: Name, unique in the configuration.
        service: Service that it serves.
        host: IP address.
        port: TCP port.
        slots: Tasks it runs at a time.
        connections: Connections it accepts from all entry hosts together.
        cores: Processor cores.
        memory_mb: Memory in megabytes.
        accelerators: Accelerators.
        rack: Rack it stands in.
        data_centre: Data centre it stands in.
        draining: Whether it gets no new work.
    """

    name: str
    service: str
    host: str
    port: int
    slots: int = 8
    connections: int = 64
    cores: float = 16.0
    memory_mb: int = 32768
    accelerators: int = 0
    rack: str = ""
    data_centre: str = ""
    draining: bool = False

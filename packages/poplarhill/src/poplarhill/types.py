"""Types shared by the slices: jobs, tasks and workers."""

from typing import NamedTuple

from poplarhill.decoding import parse_digits

MAX_TASKS_PER_JOB = 160
_MAX_OCTET = 255
_MAX_PORT = 65_535
_MAX_QUOTED_CHARS = 80


class Address(NamedTuple):
    """The address at which a process listens.

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
            ValueError: The text is not of that form.
        """
        quoted = repr(text[:_MAX_QUOTED_CHARS])
        host, _, port_digits = text.rpartition(":")
        octets = [parse_digits(part, _MAX_OCTET) for part in host.split(".")]
        if len(octets) != 4 or None in octets:
            raise ValueError(f"{quoted} is not an IP address and a port")
        port = parse_digits(port_digits, _MAX_PORT)
        if not port:
            raise ValueError(f"{quoted} has no port from 1 to {_MAX_PORT}")
        return cls(host, port)


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
    """The resources that a task needs on a worker, as declared by the caller.

    Attributes:
        cores: Processor cores.
        memory_mb: Memory in megabytes.
        accelerators: Count of accelerators.
    """

    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


class JobSpec(NamedTuple):
    """A job as submitted.

    Attributes:
        job_id: Id of the submission.
        service: Name of the service that runs it.
        customer: Name of the customer whose quota the job counts against.
        tasks: Opaque task bodies, 1 to `MAX_TASKS_PER_JOB`.
        deadline: Time by which the answer is due, by the host's own clock, s.
        idempotent: Whether the job may safely run more than once.
        key: Idempotency key, if the caller gave one.
        resources: Declared resources of each task.
        run_time_s: Declared run time of each task, if any, s.
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
        service: Name of the service that the worker runs.
        host: IP address.
        port: TCP port.
        slots: Number of tasks that the worker runs at a time.
        connections: Number of connections that the worker accepts from all
            entry hosts together.
        cores: Processor cores.
        memory_mb: Memory in megabytes.
        accelerators: Count of accelerators.
        rack: Rack of the worker.
        data_centre: Data centre of the worker.
        draining: Whether the worker gets no new tasks.
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

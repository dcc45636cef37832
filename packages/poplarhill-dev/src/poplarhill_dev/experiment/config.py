"""Experiment files: JSON, in which unknown keys are errors."""

from pathlib import Path
from typing import Any

import msgspec


class Step(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A change of the arrival rate.

    Attributes:
        from_s: When it takes effect, s from the start of the load.
        until_s: When it ends, s from the start of the load.
        factor: Factor applied to the experiment's load.
    """

    from_s: float
    until_s: float
    factor: float


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A fault at a fixed time.

    Attributes:
        kind: `kill_host`, `stop_host`, `freeze_host`, `kill_workers`, `platform`,
            `worker`, `drain`, `cut` or `cancel_wave`. `informed` and `listening` are
            not faults but conditions: they delay later faults until the target has
            the newest configuration in force, or accepts connections.
        at_s: When it begins, s from the start of the load.
        until_s: When it ends, if it does, s from the start of the load.
        target: Host, worker, worker process (`wg1`) or data centre.
        set: Fault settings for a stand-in, by name.
        direction: For `cut`: `both`, `in` or `out`.
        share: For `cancel_wave`: fraction of the jobs in flight whose callers hang up.
    """

    kind: str
    at_s: float
    until_s: float | None = None
    target: str = ""
    set: dict[str, Any] = {}
    direction: str = "both"
    share: float = 0.5


class Experiment(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One named experiment with a run for each firm, load, seed and policy.

    Attributes:
        name: Name of the experiment.
        policies: Configuration defaults of each policy, by policy name.
        firms: Names of the job mixes: `jacaranda`, `kelani`.
        loads: Average fractions of the fleet's slots that are busy.
        seeds: Seeds of the arrivals.
        duration_s: Duration of the arrivals, s.
        hosts: Number of entry hosts.
        workers: Number of workers.
        slots: Slots per worker.
        worker_processes: Number of processes that run the workers.
        load_processes: Number of processes that generate the load.
        burst_jobs: Mean number of jobs per burst; 1 gives Poisson arrivals.
        misdeclared: Fraction of the jobs with a grossly wrong declared run time.
        keyed: Fraction of the jobs that are not idempotent and carry a key.
        relay: Whether relays add the firm's delays between data centres.
        steps: Changes of the arrival rate.
        faults: Faults at fixed times.
    """

    name: str
    policies: dict[str, dict[str, Any]]
    firms: tuple[str, ...] = ("jacaranda",)
    loads: tuple[float, ...] = (0.8,)
    seeds: tuple[int, ...] = (1,)
    duration_s: float = 20.0
    hosts: int = 8
    workers: int = 24
    slots: int = 8
    worker_processes: int = 3
    load_processes: int = 2
    burst_jobs: float = 1.0
    misdeclared: float = 0.3
    keyed: float = 0.0
    relay: bool = False
    steps: tuple[Step, ...] = ()
    faults: tuple[Fault, ...] = ()

    @classmethod
    def from_file(cls, path: Path) -> "Experiment":
        """Read an experiment.

        Raises:
            msgspec.ValidationError: The file is invalid; names the first bad value.
        """
        return msgspec.json.decode(path.read_bytes(), type=cls)


class Case(msgspec.Struct, frozen=True):
    """One run of an experiment.

    Attributes:
        firm: Name of the job mix.
        load: Average fraction of the fleet's slots that are busy.
        seed: Seed of the arrivals.
        policy: Name of the policy.
    """

    firm: str
    load: float
    seed: int
    policy: str


def cases(experiment: Experiment) -> list[Case]:
    """Return the runs of an experiment; the policies of one load are adjacent."""
    return [
        Case(firm, load, seed, policy)
        for firm in experiment.firms
        for load in experiment.loads
        for seed in experiment.seeds
        for policy in experiment.policies
    ]

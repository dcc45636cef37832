"""What an experiment runs: read from JSON, unknown keys refused."""

from pathlib import Path
from typing import Any

import msgspec


class Step(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A change of the arrival rate.

    Attributes:
        from_s: Time from which it holds, s from the start of the load.
        until_s: Time until which it holds, s from the start of the load.
        factor: Factor on the experiment's load.
    """

    from_s: float
    until_s: float
    factor: float


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A fault at a set time.

    Attributes:
        kind: `kill_host`, `stop_host`, `freeze_host`, `kill_workers`, `platform`,
            `worker`, `drain`, `cut` or `cancel_wave`; `informed` and `listening` are
            none: later faults wait until the target has the newest configuration in
            force, or can be reached.
        at_s: When it begins, s from the start of the load.
        until_s: When it ends, if it does, s from the start of the load.
        target: Host, worker, process of workers (`wg1`) or data centre.
        set: Faults to set on a stand-in, by name.
        direction: Of a cut: `both`, `in` or `out`.
        share: Of a cancel wave: part of the jobs in flight that hang up.
    """

    kind: str
    at_s: float
    until_s: float | None = None
    target: str = ""
    set: dict[str, Any] = {}
    direction: str = "both"
    share: float = 0.5


class Experiment(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One named experiment: a run for each seed, firm, load and policy.

    Attributes:
        name: Its name.
        policies: Fleet defaults of the configuration, by name of the policy.
        firms: Mixes of jobs: `jacaranda`, `kelani`.
        loads: Shares of the fleet's slots kept busy on average.
        seeds: Seeds of the arrivals.
        duration_s: How long jobs arrive, s.
        hosts: Count of entry hosts.
        workers: Count of workers.
        slots: Slots of each worker.
        worker_processes: Processes that the workers are spread over.
        load_processes: Processes that the load comes from.
        burst_jobs: Mean jobs that arrive together; 1 is Poisson arrivals.
        misdeclared: Part of the jobs whose declared run time is far off.
        keyed: Part of the jobs that are not idempotent and carry a key.
        relay: Whether the firm's delays between data centres are imposed.
        steps: Changes of the arrival rate.
        faults: Faults at set times.
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
            msgspec.ValidationError: Names the first value that does not fit.
        """
        return msgspec.json.decode(path.read_bytes(), type=cls)


class Case(msgspec.Struct, frozen=True):
    """One run of an experiment.

    Attributes:
        firm: Mix of jobs.
        load: Share of the fleet's slots kept busy on average.
        seed: Seed of the arrivals.
        policy: Name of the policy.
    """

    firm: str
    load: float
    seed: int
    policy: str


def cases(experiment: Experiment) -> list[Case]:
    """Return the runs of an experiment; the policies of one load together."""
    return [
        Case(firm, load, seed, policy)
        for firm in experiment.firms
        for load in experiment.loads
        for seed in experiment.seeds
        for policy in experiment.policies
    ]

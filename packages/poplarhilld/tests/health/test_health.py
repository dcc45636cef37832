"""Detection, ejection, probing and restoration of failing workers."""

from random import Random

import pytest

from poplarhill import TaskId
from poplarhill.configuration import Configuration
from poplarhilld.health import Health, WorkerEjected, WorkerRestored
from poplarhilld.outliers.ejection import FIRST_PAUSE_S, PROBES_TO_RESTORE
from poplarhilld.outliers.failures import MIN_FAILED_JOBS
from poplarhilld.peers.messages import Suspicion

WORKERS = 24
RUN_S = 0.1


def configuration(workers: int = WORKERS, fraction: float = 0.3) -> Configuration:
    described = {
        f"w{n}": {"host": "127.0.0.1", "port": 1000 + n} for n in range(workers)
    }
    document = {
        "defaults": {"eject_fraction": fraction},
        "services": {"booking": {"workers": described}},
    }
    return Configuration.from_document(1, document)


class Bench:
    """Reports tasks to a `Health`, one after the other."""

    def __init__(self, workers: int = WORKERS, fraction: float = 0.3) -> None:
        self.configuration = configuration(workers, fraction)
        self.health = Health(self.configuration)
        self.now = 0.0
        self.jobs = 0
        self.decisions: list = []

    def run(
        self, worker: str, fails: bool, run_s: float = RUN_S, job: str = ""
    ) -> None:
        """Run one task of the given job, or of a new job if none is given."""
        self.jobs += 1
        task = TaskId(job or f"j{self.jobs}", self.jobs)
        self.health.sent(self.now, task, worker)
        self.now += run_s
        self.health.set_now(self.now)
        self.end(task, worker, fails)

    def end(self, task: TaskId, worker: str, fails: bool) -> None:
        """Report the end of a task."""
        if fails:
            self.decisions += self.health.failed(self.now, task, worker, stopped=False)
        else:
            self.decisions += self.health.succeeded(self.now, task, worker)

    def ejected(self) -> set[str]:
        """Return every worker that has been ejected so far."""
        return {d.worker for d in self.decisions if isinstance(d, WorkerEjected)}

    def usable(self, worker: str) -> bool:
        """Return whether new tasks may go to a worker."""
        return self.health.may_use(self.now, self.configuration.workers[worker])


@pytest.fixture
def bench() -> Bench:
    bench = Bench()
    for number in range(10 * WORKERS):
        bench.run(f"w{number % WORKERS}", fails=False)
    return bench


def test_a_worker_that_fails_every_job_is_ejected_after_a_few(bench) -> None:
    for _ in range(MIN_FAILED_JOBS):
        assert bench.usable("w0")
        bench.run("w0", fails=True, run_s=0.001)
    assert not bench.usable("w0")


def test_a_job_that_fails_repeatedly_on_a_worker_counts_once(bench) -> None:
    for _ in range(160):
        bench.run("w0", fails=True, job="large")
    assert bench.usable("w0")


@pytest.mark.parametrize("failure_ratio", [0.02, 0.3, 0.8])
def test_failing_jobs_eject_at_most_one_worker(failure_ratio) -> None:
    bench, random = Bench(), Random(7)
    for _ in range(5000):
        worker = f"w{random.randrange(WORKERS)}"
        bench.run(worker, fails=random.random() < failure_ratio)
    assert len(bench.ejected()) <= 1


def test_a_job_that_fails_on_several_workers_ejects_none(bench) -> None:
    for number in range(50):
        for worker in ("w0", "w1", "w2"):
            bench.run(worker, fails=True, job=f"bad{number}")
    assert not bench.ejected()


@pytest.mark.parametrize("job_failure_ratio", [0.0, 0.3])
def test_a_failing_worker_is_ejected_despite_failing_jobs(job_failure_ratio) -> None:
    bench, random = Bench(), Random(3)
    for _ in range(4000):
        worker = f"w{random.randrange(WORKERS)}"
        ratio = 0.9 if worker == "w0" else job_failure_ratio
        if bench.usable(worker):
            bench.run(worker, fails=random.random() < ratio)
    assert "w0" in bench.ejected()


@pytest.mark.parametrize(
    ("workers", "fraction", "max_ejected"),
    [(24, 0.3, 7), (24, 0.0, 0), (2, 0.9, 1), (1, 1, 0)],
)
def test_the_ejected_fraction_is_limited(workers, fraction, max_ejected) -> None:
    bench = Bench(workers, fraction)
    for _ in range(50):
        for number in range(workers):
            if bench.usable(f"w{number}"):
                bench.run(f"w{number}", fails=True)
    assert len(bench.health.ejected) <= max_ejected


def probe(bench: Bench, fails: bool) -> None:
    [worker] = bench.health.due_probes(bench.now)
    bench.jobs += 1
    task = TaskId(f"p{bench.jobs}", 0)
    bench.decisions += bench.health.probe_sent(task, worker.name)
    bench.health.sent(bench.now, task, worker.name)
    assert not bench.health.due_probes(bench.now)
    bench.end(task, worker.name, fails)


def test_a_worker_is_restored_by_consecutive_probes(bench) -> None:
    for _ in range(MIN_FAILED_JOBS):
        bench.run("w0", fails=True)
    assert not bench.health.due_probes(bench.now)
    bench.now += FIRST_PAUSE_S
    for _ in range(PROBES_TO_RESTORE):
        assert not bench.usable("w0")
        probe(bench, fails=False)
    assert bench.usable("w0")
    assert isinstance(bench.decisions[-1], WorkerRestored)


def test_each_failed_probe_doubles_the_pause(bench) -> None:
    for _ in range(MIN_FAILED_JOBS):
        bench.run("w0", fails=True)
    pause = FIRST_PAUSE_S
    for _ in range(4):
        bench.now += pause
        probe(bench, fails=True)
        pause *= 2
        bench.now += pause / 2
        assert not bench.health.due_probes(bench.now)
        bench.now -= pause / 2


def test_a_suspicion_of_a_peer_lowers_the_threshold_but_ejects_no_worker_alone(
    bench,
) -> None:
    bench.health.suspicions_received(bench.now, "h2", (Suspicion("w0", 1.0),))
    assert bench.usable("w0")
    bench.run("w0", fails=True)
    assert bench.usable("w0")
    bench.run("w0", fails=True)
    assert not bench.usable("w0")


def test_suspicions_of_this_host_are_shared(bench) -> None:
    for _ in range(MIN_FAILED_JOBS):
        bench.run("w0", fails=True)
    assert bench.health.shared_suspicions() == (Suspicion("w0", 1.0),)


def test_a_task_stopped_on_request_is_not_a_failure(bench) -> None:
    for number in range(50):
        task = TaskId(f"s{number}", 0)
        bench.health.sent(bench.now, task, "w0")
        assert not bench.health.failed(bench.now, task, "w0", stopped=True)
    assert bench.usable("w0")


def test_the_slowdown_of_a_straggler_decays_without_results(bench) -> None:
    for _ in range(30):
        bench.run("w0", fails=False, run_s=10 * RUN_S)
    assert bench.health.slowdown("w0") > 5
    assert bench.health.slowdown("w1") < 1.5
    assert bench.usable("w0")
    bench.health.set_now(bench.now + 100)
    assert bench.health.slowdown("w0") < 1.5


def test_a_stalled_worker_is_slow_before_its_task_ends(bench) -> None:
    bench.health.sent(bench.now, TaskId("stuck", 0), "w0")
    bench.health.set_now(bench.now + 20 * RUN_S)
    assert bench.health.slowdown("w0") > 10


def test_the_estimate_follows_a_shift_of_run_times(bench) -> None:
    times = bench.health.times.service("booking")
    assert times.p50_s == pytest.approx(RUN_S, rel=0.01)
    for number in range(200):
        bench.run(f"w{number % WORKERS}", fails=False, run_s=4 * RUN_S)
    assert times.p50_s == pytest.approx(4 * RUN_S, rel=0.05)

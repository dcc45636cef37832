"""Bad workers are told from bad jobs, ejected, probed and restored."""

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
    """Runs tasks through a health state, one after the other."""

    def __init__(self, workers: int = WORKERS, fraction: float = 0.3) -> None:
        self.configuration = configuration(workers, fraction)
        self.health = Health(self.configuration)
        self.now = 0.0
        self.jobs = 0
        self.decisions: list = []

    def run(
        self, worker: str, fails: bool, run_s: float = RUN_S, job: str = ""
    ) -> None:
        """Run one task of a job of its own, or of a job by name."""
        self.jobs += 1
        task = TaskId(job or f"j{self.jobs}", self.jobs)
        self.health.sent(self.now, task, worker)
        self.now += run_s
        self.health.advance(self.now)
        self.end(task, worker, fails)

    def end(self, task: TaskId, worker: str, fails: bool) -> None:
        """Give a task its answer."""
        if fails:
            self.decisions += self.health.failed(self.now, task, worker, stopped=False)
        else:
            self.decisions += self.health.succeeded(self.now, task, worker)

    def ejected(self) -> set[str]:
        """Return the workers ejected so far."""
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


def test_a_worker_that_fails_everything_is_out_after_a_few_jobs(bench) -> None:
    for _ in range(MIN_FAILED_JOBS):
        assert bench.usable("w0")
        bench.run("w0", fails=True, run_s=0.001)
    assert not bench.usable("w0")


def test_one_job_that_fails_often_on_a_worker_counts_once(bench) -> None:
    for _ in range(160):
        bench.run("w0", fails=True, job="large")
    assert bench.usable("w0")


@pytest.mark.parametrize("bad", [0.02, 0.3, 0.8])
def test_bad_jobs_eject_no_worker(bad) -> None:
    bench, random = Bench(), Random(7)
    for _ in range(5000):
        worker = f"w{random.randrange(WORKERS)}"
        bench.run(worker, fails=random.random() < bad)
    assert len(bench.ejected()) <= 1


def test_a_job_that_fails_on_several_workers_is_a_bad_job(bench) -> None:
    for number in range(50):
        for worker in ("w0", "w1", "w2"):
            bench.run(worker, fails=True, job=f"bad{number}")
    assert not bench.ejected()


@pytest.mark.parametrize("bad_jobs", [0.0, 0.3])
def test_a_worker_that_fails_most_is_found_among_bad_jobs(bad_jobs) -> None:
    bench, random = Bench(), Random(3)
    for _ in range(4000):
        worker = f"w{random.randrange(WORKERS)}"
        ratio = 0.9 if worker == "w0" else bad_jobs
        if bench.usable(worker):
            bench.run(worker, fails=random.random() < ratio)
    assert "w0" in bench.ejected()


@pytest.mark.parametrize(
    ("workers", "fraction", "most"),
    [(24, 0.3, 7), (24, 0.0, 0), (2, 0.9, 1), (1, 1, 0)],
)
def test_the_ejected_part_is_capped(workers, fraction, most) -> None:
    bench = Bench(workers, fraction)
    for _ in range(50):
        for number in range(workers):
            if bench.usable(f"w{number}"):
                bench.run(f"w{number}", fails=True)
    assert len(bench.health.ejected) <= most


def probe(bench: Bench, fails: bool) -> None:
    [worker] = bench.health.due_probes(bench.now)
    bench.jobs += 1
    task = TaskId(f"p{bench.jobs}", 0)
    bench.decisions += bench.health.probe_sent(task, worker.name)
    bench.health.sent(bench.now, task, worker.name)
    assert not bench.health.due_probes(bench.now)
    bench.end(task, worker.name, fails)


def test_a_worker_comes_back_by_single_probes(bench) -> None:
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


def test_a_peer_s_suspicion_lowers_the_threshold_and_ejects_nobody_alone(
    bench,
) -> None:
    bench.health.suspicions_received(bench.now, "h2", (Suspicion("w0", 1.0),))
    assert bench.usable("w0")
    bench.run("w0", fails=True)
    assert bench.usable("w0")
    bench.run("w0", fails=True)
    assert not bench.usable("w0")


def test_what_this_host_suspects_is_shared(bench) -> None:
    for _ in range(MIN_FAILED_JOBS):
        bench.run("w0", fails=True)
    assert bench.health.shared_suspicions() == (Suspicion("w0", 1.0),)


def test_a_task_stopped_because_we_asked_is_no_failure(bench) -> None:
    for number in range(50):
        task = TaskId(f"s{number}", 0)
        bench.health.sent(bench.now, task, "w0")
        assert not bench.health.failed(bench.now, task, "w0", stopped=True)
    assert bench.usable("w0")


def test_a_straggler_shows_and_is_forgotten(bench) -> None:
    for _ in range(30):
        bench.run("w0", fails=False, run_s=10 * RUN_S)
    assert bench.health.slowdown("w0") > 5
    assert bench.health.slowdown("w1") < 1.5
    assert bench.usable("w0")
    bench.health.advance(bench.now + 100)
    assert bench.health.slowdown("w0") < 1.5


def test_a_worker_that_answers_nothing_shows_before_its_task_ends(bench) -> None:
    bench.health.sent(bench.now, TaskId("stuck", 0), "w0")
    bench.health.advance(bench.now + 20 * RUN_S)
    assert bench.health.slowdown("w0") > 10


def test_a_shift_of_run_times_is_followed(bench) -> None:
    times = bench.health.times.service("booking")
    assert times.p50_s == pytest.approx(RUN_S, rel=0.01)
    for number in range(200):
        bench.run(f"w{number % WORKERS}", fails=False, run_s=4 * RUN_S)
    assert times.p50_s == pytest.approx(4 * RUN_S, rel=0.05)

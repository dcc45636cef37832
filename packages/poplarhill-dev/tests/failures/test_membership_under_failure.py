"""Entry hosts, as real processes, are killed, frozen and replaced."""

import json
import threading
import time

import pytest

from poplarhill_dev.experiment.submit import submit
from poplarhill_dev.experiment.workload import PlannedJob
from poplarhill_dev.fleet import Fleet, get_page, put_json, wait_until
from poplarhill_dev.trace import check, record
from poplarhilld.outliers.failures import MIN_FAILED_JOBS

HOSTS = ("h1", "h2", "h3")
FROZEN = HOSTS.index("h3")
SLOTS = 8
SLOTS_OF_A_HOST = 3
PROBES = 3


def metric(fleet: Fleet, host: str, name: str) -> float:
    page = get_page(fleet.process(host).port, "/metrics").decode()
    [value] = [line.split()[1] for line in page.splitlines() if line.startswith(name)]
    return float(value)


def wait_live(fleet: Fleet, count: int, *hosts: str) -> None:
    for host in hosts:
        wait_until(
            lambda host=host: metric(fleet, host, "poplarhill_live_hosts ") == count,
            f"{host} sees {count} hosts",
        )


def starts_since(fleet: Fleet, worker: str, since: float) -> int:
    trace = json.loads(get_page(fleet.worker_ports[worker], "/trace"))
    return sum(time_s >= since for time_s, *_ in trace)


def job(name: str, host: int, at_s: float, tasks: int) -> PlannedJob:
    return PlannedJob(
        name=name,
        at_s=at_s,
        host=host,
        run_s=(0.2,) * tasks,
        timeout_s=50.0,
        declared_s=0.2,
        customer="default",
        key=None,
        hang_up_s=None,
    )


class Load(threading.Thread):
    """Submits jobs in a thread beside the test."""

    def __init__(self, fleet: Fleet, jobs: list[PlannedJob]) -> None:
        super().__init__(daemon=True)
        self._fleet, self._jobs = fleet, jobs
        self.answers: list = []

    def run(self) -> None:
        """Submit every job and store the answers."""
        self.answers = submit(self._fleet, self._jobs)


@pytest.fixture
def members(fleet: Fleet) -> Fleet:
    wait_live(fleet, len(HOSTS), *HOSTS)
    return fleet


def test_a_killed_host_is_removed_and_can_rejoin_under_its_name(members) -> None:
    members.kill("h3")
    wait_live(members, 2, "h1", "h2")
    members.restart("h3")
    members.wait_ready()
    wait_live(members, 3, *HOSTS)


def test_a_resumed_host_sends_nothing_to_workers_that_leave(members) -> None:
    jobs = [job(f"a{n}", FROZEN, 0.1 * n, tasks=160) for n in range(4)]
    load = Load(members, jobs)
    load.start()
    wait_until(lambda: starts_since(members, "w1", 0.0) > 8, "tasks of h3 run")
    members.freeze("h3")
    put_json(members.platform_port, "/hosts", [9, list(members.worker_ports), ["w1"]])
    members.run_cli("worker", "drain", "w2", "--reason", "its rack is replaced")
    for host in ("h1", "h2"):
        wait_until(
            lambda host=host: metric(members, host, "poplarhill_hosts_version ") == 9,
            f"{host} has the list of workers",
        )
    wait_live(members, 2, "h1", "h2")
    resumed_at = time.monotonic()
    members.resume("h3")
    load.join()
    assert [answer.outcome for answer in load.answers] == ["complete"] * len(jobs)
    assert starts_since(members, "w3", resumed_at) > 0
    assert starts_since(members, "w1", resumed_at) == 0
    assert starts_since(members, "w2", resumed_at) == 0
    assert check(record(members, load.answers)) == []
    wait_live(members, 3, *HOSTS)


def test_every_job_has_one_answer_while_every_host_is_replaced(
    members, steady_jobs, one_answer_each
) -> None:
    jobs = steady_jobs(12.0)
    load = Load(members, jobs)
    load.start()
    for name in HOSTS:
        members.process(name).handle.terminate()
        assert members.process(name).handle.wait(60.0) == 0
        members.restart(name)
        members.wait_ready()
        wait_live(members, len(HOSTS), *HOSTS)
    load.join()
    assert one_answer_each(jobs, load.answers)
    assert check(record(members, load.answers)) == []


def test_a_worker_that_fails_every_task_gets_few_tasks(
    members, one_answer_each
) -> None:
    put_json(members.worker_ports["w1"], "/faults", {"fail": True})
    jobs = [job(f"b{n}", n % len(HOSTS), n / 15, tasks=8) for n in range(150)]
    answers = submit(members, jobs)
    assert one_answer_each(jobs, answers)
    tasks = sum(len(planned.run_s) for planned in jobs)
    # A job may send a task to each slot that its host has before the first one fails.
    most = len(HOSTS) * (MIN_FAILED_JOBS * SLOTS_OF_A_HOST + PROBES) + SLOTS
    starts = starts_since(members, "w1", 0.0)
    assert 0 < starts <= most < tasks / len(members.worker_ports)
    assert sum(answer.outcome == "task_failed" for answer in answers) <= most

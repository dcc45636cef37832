"""Jobs that were handed over: which workers the former leader had decides."""

from dataclasses import replace

from poplarhill import ErrorKind
from poplarhill_dev.leased import SimulatedWorker, World, simulated_job, worker_entry
from poplarhilld.leading import QueryWorker, ReportJob, ShareReport
from poplarhilld.peers.messages import UNKNOWN_WORKERS, JobProgress


# Once, a leader whose list lacked the worker of a run took all workers on its list for
# all that there are, and started the task beside that run.
def test_a_leader_without_a_worker_of_the_former_one_starts_nothing(
    world: World,
) -> None:
    world.submit("h1", simulated_job("a", tasks=4, run_s=1.0, left_s=9.0, cores=16.0))
    world.run(0.1)
    known = {name: entry for name, entry in world.entries.items() if name != "w0"}
    world.paused.add("h1")
    h2 = world.add_leader("h2", 2, known)
    world.perform("h2", h2.set_workers(world.now, world.now, known))
    world.hand_over("h2", "a")
    world.run(3.0)
    assert world.starts == 4
    assert not world.violations
    assert world.job_outcome("a").error == ErrorKind.WORKER_LOST.value


# Once, a task that was done at a leader beyond a cut ran again 1.3 s after its job had
# been handed over, if the caller waited that long.
def test_a_task_that_was_done_beyond_a_cut_is_not_run_again() -> None:
    world = World(SimulatedWorker(worker_entry(f"w{n}")) for n in range(4))
    near = {name: world.entries[name] for name in ("w0", "w1")}
    far = {name: world.entries[name] for name in ("w2", "w3")}
    h1, h2 = world.add_leader("h1", 1, near), world.add_leader("h2", 2, far)
    world.perform("h1", h1.set_workers(world.now, world.now, near, frozenset(far)))
    world.perform("h2", h2.set_workers(world.now, world.now, far, frozenset(near)))
    world.run(0.2)
    world.submit("h1", simulated_job("a", tasks=1, run_s=0.1, left_s=9.0))
    world.run(0.5)
    assert world.job_outcome("a").error == ""  # this report is lost
    world.reports.clear()
    world.hand_over("h2", "a")
    world.run(4.0)
    assert world.starts == 1
    assert world.job_outcome("a").error == ErrorKind.WORKER_LOST.value


# Guards against a needless wait: the next leader of the same workers knows their runs.
def test_the_next_leader_of_the_same_workers_starts_waiting_tasks_at_once() -> None:
    world = World(SimulatedWorker(worker_entry(f"w{n}")) for n in range(4))
    led = {name: world.entries[name] for name in ("w0", "w1")}
    others = frozenset(world.entries) - led.keys()
    h1 = world.add_leader("h1", 1, led)
    world.perform("h1", h1.set_workers(world.now, world.now, led, others))
    world.run(0.2)
    job = simulated_job("a", tasks=4, run_s=0.3, left_s=3.0, cores=16.0)
    world.submit("h1", job)
    world.run(0.1)
    world.paused.add("h1")
    h2 = world.add_leader("h2", 2, led)
    world.perform("h2", h2.set_workers(world.now, world.now, led, others))
    world.hand_over("h2", "a")
    world.run(1.0)
    assert world.job_outcome("a").error == ""
    assert world.starts == 4
    assert not world.violations


# Guards against jobs that end because the next leader has one more worker than the
# former one had.
def test_a_leader_with_all_workers_of_the_former_one_and_more_starts_tasks() -> None:
    world = World(SimulatedWorker(worker_entry(f"w{n}")) for n in range(4))
    former = {name: world.entries[name] for name in ("w0", "w1")}
    world.add_leader("h1", 1, former)
    world.run(0.2)
    world.submit("h1", simulated_job("a", tasks=4, run_s=0.3, left_s=3.0, cores=16.0))
    world.run(0.1)
    world.paused.add("h1")
    h2 = world.add_leader("h2", 2)
    h2.remember_workers(former.values())
    world.hand_over("h2", "a")
    world.run(1.0)
    assert world.job_outcome("a").error == ""
    assert world.starts == 4
    assert not world.violations


# Guards against a run on a worker of which a host cannot tell the next leader.
def test_a_worker_that_the_host_does_not_know_of_gets_no_run(world: World) -> None:
    leader = world.leaders["h1"]
    known = {name: world.entries[name] for name in ("w0", "w1")}
    world.perform("h1", leader.set_workers(world.now, world.now, known))
    world.run(1.5)
    digests = leader.workers_digests
    world.perform("h1", leader.set_workers(world.now, world.now, world.entries))
    world.run(0.2)
    job = simulated_job("a", tasks=4, cores=16.0)
    world.jobs["a"] = job
    offer = job.offer
    actions = leader.handle_offer(world.now, "e1", 1, offer, 0.0, digests)
    world.perform("h1", actions)
    world.run(0.01)
    assert {n for n, w in world.workers.items() if w.running} == {"w0", "w1"}
    actions = leader.handle_offer(
        world.now, "e1", 1, offer, 0.0, leader.workers_digests
    )
    world.perform("h1", actions)
    world.run(0.06)
    assert all(worker.running for worker in world.workers.values())


# Guards against taking workers that a host does not know for none.
def test_a_job_from_a_leader_of_unknown_workers_starts_nothing(world: World) -> None:
    job = simulated_job("a", handovers=1, left_s=5.0)
    offer = job.offer._replace(former_workers=(UNKNOWN_WORKERS,))
    world.jobs["a"] = job
    leader = world.leaders["h1"]
    world.perform("h1", leader.handle_offer(world.now, "e1", 1, offer))
    world.run(2.0)
    assert world.starts == 0
    assert world.job_outcome("a").error == ErrorKind.WORKER_LOST.value


# Guards against two leaders that start one task: one that claims its workers back does
# not know whether the job has gone to the leader that held them.
def test_a_leader_that_claims_workers_back_waits_for_the_next_offer(
    world: World,
) -> None:
    leader = world.leaders["h1"]
    world.submit("h1", simulated_job("first", tasks=4, run_s=0.2, cores=16.0))
    world.submit(
        "h1", simulated_job("a", 0.2, tasks=1, cores=16.0, left_s=9.0, stretch=30.0)
    )
    world.silent_hosts.add("e1")
    world.run(0.05)
    h2 = world.add_leader("h2", 2)
    world.run(0.02)
    world.perform("h2", h2.resign())
    for _ in range(14):
        world.perform("h1", leader.set_workers(world.now, world.now, world.entries))
        world.run(0.05)
    assert any(w.confirmed and not w.fenced for w in leader.workers.values())
    assert "a.0.0.0" not in world.starts_by_task
    world.silent_hosts.clear()
    world.run(0.3)
    assert "a.0.0.0" in world.starts_by_task


# Once, a result that a successor had learnt before it was offered the job was known to
# nobody else, and the task ran again when that leader was lost as well.
def test_results_of_runs_of_unknown_jobs_are_told_to_all(world: World) -> None:
    world.submit("h1", simulated_job("a", tasks=1, run_s=0.2, left_s=9.0))
    world.run(0.1)
    world.paused.add("h1")
    told: list[str] = []
    perform = world.perform

    def record(leader: str, actions: list) -> None:
        shared = (action for action in actions if isinstance(action, ShareReport))
        told.extend(name for share in shared for name in share.report.done_tasks)
        perform(leader, actions)

    world.perform = record
    world.add_leader("h2", 2)
    world.run(0.3)
    assert told == ["a.0.0.0"]


# Once, the report on a done task was sent a single time. If it was lost, and its leader
# after it, the next leader ran the task again.
def test_a_lost_report_is_repeated_when_the_offer_is(world: World) -> None:
    job = simulated_job("a", tasks=2, run_s=0.1, left_s=9.0)
    job.runs["a.0.0.1"] = 2.0
    world.submit("h1", job)
    world.run(0.2)
    world.reports.clear()
    leader = world.leaders["h1"]
    repeated = leader.handle_offer(world.now, "e1", 1, job.offer)
    assert repeated == [ReportJob("e1", JobProgress("a", (0,)))]
    known = job.offer._replace(done=(0,))
    assert leader.handle_offer(world.now + 0.1, "e1", 1, known) == []


# Once, a job that only workers of another leader can run failed for good.
def test_a_job_that_is_impossible_here_may_go_elsewhere(world: World) -> None:
    world.submit("h1", simulated_job("a", tasks=1, cores=64.0, left_s=9.0))
    assert world.job_outcome("a").error == ErrorKind.IMPOSSIBLE.value
    assert world.job_outcome("a").elsewhere


# Once, a worker that refused an order, since it knew a run of the task, was taken to
# prove that the task had not run.
def test_a_task_that_a_worker_knows_of_is_not_started_with_another_number(
    world: World,
) -> None:
    world.submit("h1", simulated_job("a", tasks=1, run_s=0.1, left_s=9.0))
    world.run(0.6)
    assert world.job_outcome("a").error == ""  # this report is lost
    world.reports.clear()
    world.paused.add("h1")
    world.add_leader("h2", 2)
    world.run(0.1)
    world.hand_over("h2", "a")
    world.run(1.0)
    assert world.starts == 1
    assert world.job_outcome("a").error == ErrorKind.WORKER_LOST.value


# Once, jobs of impatient callers ended before the next leader had claimed the other
# shards of the former one.
def test_a_job_waits_for_workers_that_nobody_leads_yet(world: World) -> None:
    world.submit("h1", simulated_job("a", tasks=4, run_s=0.4, left_s=1.4, cores=16.0))
    world.run(0.1)
    world.paused.add("h1")
    first = {name: world.entries[name] for name in ("w0", "w1")}
    rest = frozenset(world.entries) - first.keys()
    h2 = world.add_leader("h2", 2, first)
    h2.remember_workers(world.entries.values())
    args = (frozenset(rest), {}, frozenset())
    world.perform("h2", h2.set_workers(world.now, world.now, first, *args))
    world.hand_over("h2", "a")
    world.run(0.1)
    world.perform("h2", h2.set_workers(world.now, world.now, world.entries))
    world.run(0.8)
    assert world.job_outcome("a").error == ""
    assert world.starts == 4


# Guards against another run of a task that may run once, after one that has failed.
def test_a_task_that_may_run_once_is_not_started_after_a_handover(world: World) -> None:
    job = simulated_job("a", tasks=1, run_s=0.1, left_s=9.0, max_attempts=1)
    world.submit("h1", job)
    world.workers["w0"].broken = True
    world.run(0.6)
    world.reports.clear()
    world.paused.add("h1")
    broken = world.workers["w0"]
    broken.entry = broken.entry._replace(draining=True)
    world.add_leader("h2", 2)
    world.run(0.1)
    world.hand_over("h2", "a")
    world.run(2.0)
    assert world.starts == 1
    assert world.job_outcome("a").error == ErrorKind.WORKER_LOST.value


# Once, a leader took a worker for its own by a reply from before another leader had
# claimed it back, and started a task beside the run that the other one had ordered.
def test_a_worker_that_was_claimed_back_since_its_last_reply_proves_nothing(
    world: World,
) -> None:
    h1 = world.leaders["h1"]
    claimed_back = {"w1": world.entries["w1"]}
    h1.remember_workers(claimed_back.values())
    world.paused.add("h1")  # the refusal of the worker is on its way
    former = world.add_leader("h2", 2, claimed_back)
    world.run(0.02)
    world.submit("h2", simulated_job("a", tasks=1, run_s=1.0, left_s=9.0))
    world.run(0.02)
    world.perform("h2", former.resign())
    world.paused.clear()
    assert not h1.workers["w1"].fenced
    world.hand_over("h1", "a")
    for _ in range(30):
        world.perform("h1", h1.set_workers(world.now, world.now, world.entries))
        world.run(0.05)
    assert world.starts == 1
    assert world.job_outcome("a").error == ""


# Guards against tasks that wait for the next renewals after a handover: a worker may
# hold each one for 0.4 s.
def test_workers_are_asked_at_once_for_the_runs_of_a_handed_over_job(
    world: World,
) -> None:
    world.submit("h1", simulated_job("a", tasks=3, run_s=0.3, left_s=9.0, cores=16.0))
    world.run(0.01)
    world.paused.add("h1")
    world.add_leader("h2", 2)
    world.run(0.25)
    world.hand_over("h2", "a")
    world.run(0.15)
    assert world.job_outcome("a").error == ""


# Guards against a flood of calls to workers: hundreds of jobs may be handed over at
# once, and each needs the runs on all of them.
def test_the_queries_for_jobs_that_are_handed_over_together_are_bounded(
    world: World,
) -> None:
    queries: list[QueryWorker] = []
    perform = world.perform

    def record(leader: str, actions: list) -> None:
        queries.extend(one for one in actions if isinstance(one, QueryWorker))
        perform(leader, actions)

    world.perform = record
    digests = world.leaders["h1"].workers_digests
    for number in range(200):
        job = simulated_job(f"j{number}", tasks=1, run_s=0.05, left_s=9.0, handovers=1)
        offer = job.offer._replace(former_workers=digests)
        world.submit_at(world.now + 0.001 * number, "h1", replace(job, offer=offer))
    world.run(3.0)
    assert world.starts == 200
    assert len(queries) <= len(world.workers) * (0.2 / 0.05 + 2)


# Once, a leader that got a job from two hosts went by the first offer alone, and
# started tasks that might run at the leader from which the other host had taken it.
def test_the_former_leaders_of_a_job_count_for_each_host_that_offers_it(
    world: World,
) -> None:
    world.submit("h1", simulated_job("busy", 0.3, tasks=4, cores=16.0, left_s=9.0))
    job = simulated_job("a", 0.3, tasks=1, cores=16.0, left_s=9.0, stretch=30.0)
    world.submit("h1", job)
    offer = job.offer._replace(handovers=1, former_workers=(UNKNOWN_WORKERS,))
    world.submit("h1", replace(job, offer=offer), host="e2")
    world.run(1.0)
    assert world.job_outcome("busy").error == ""
    assert "a.0.0.0" not in world.starts_by_task
    world.run(1.0)
    assert world.job_outcome("a").error == ErrorKind.WORKER_LOST.value


# Once, a reply with a run that could not be read counted as the list of all runs.
def test_a_worker_with_a_run_that_cannot_be_read_proves_nothing(world: World) -> None:
    worker = world.workers["w3"]
    renew = worker.renew
    worker.renew = lambda *args: renew(*args)._replace(unreadable_runs=1)
    world.run(1.0)
    job = simulated_job("a", tasks=1, handovers=1, left_s=9.0)
    digests = world.leaders["h1"].workers_digests
    offer = job.offer._replace(former_workers=digests)
    world.submit("h1", replace(job, offer=offer))
    world.run(2.0)
    assert world.starts == 0
    assert world.job_outcome("a").error == ErrorKind.WORKER_LOST.value

"""Two leaders of the same workers: the one with the higher token wins."""

from dataclasses import replace

import pytest

from poplarhill import ErrorKind
from poplarhill_dev.leased import World, simulated_job
from poplarhilld.leading import as_handed_over
from poplarhilld.leases import Run
from poplarhilld.peers.messages import JobWithdrawn, OfferedJob
from poplarhilld.peers.offer_limits import DEFAULT_LIMITS
from poplarhilld.shards.intervals import HOST_TIMEOUT_S


def test_a_takeover_adopts_runs(world: World) -> None:
    job = simulated_job("a", tasks=4, run_s=0.5, left_s=3.0)
    world.submit("h1", job)
    world.run(0.1)
    world.paused.add("h1")
    world.now += 0.1
    world.add_leader("h2", 2)
    world.run(0.05)
    offer = world.handed_over(job.offer.job_id)
    world.perform("h2", world.leaders["h2"].handle_offer(world.now, "e1", 1, offer))
    world.run(1.0)
    assert world.job_outcome("a").error == ""
    assert world.starts == 4
    assert not world.violations


def test_adopted_runs_change_no_run_time_estimates(world: World) -> None:
    # Guards against a past fault: the start of adopted runs is unknown, but they were
    # used for estimates. After a takeover, jobs of 1 s were expected to run for 300 s
    # and were refused whenever they had to wait at all.
    jobs = [simulated_job(f"a{n}", tasks=4, run_s=0.4, left_s=3.0) for n in range(3)]
    for job in jobs:
        world.submit("h1", job)
    world.run(0.1)
    world.paused.add("h1")
    world.add_leader("h2", 2)
    world.run(0.05)
    for job in jobs:
        offer = world.handed_over(job.offer.job_id)
        world.perform("h2", world.leaders["h2"].handle_offer(world.now, "e1", 1, offer))
    world.run(1.5)
    for number in range(12):
        world.submit("h2", simulated_job(f"b{number}", run_s=0.2, left_s=1.5))
    world.run(1.5)
    outcomes = {world.job_outcome(f"b{number}").error for number in range(12)}
    assert outcomes == {""}


def test_a_leader_that_resumes_after_a_takeover_starts_nothing(world: World) -> None:
    world.paused.add("h1")
    world.run(1.0)
    world.add_leader("h2", 2)
    world.run(0.1)
    world.paused.clear()
    world.submit("h1", simulated_job("a"))
    world.run(0.3)
    assert world.starts == 0
    assert not world.violations


def test_runs_on_a_fenced_worker_are_not_started_elsewhere(world: World) -> None:
    # Guards against a past fault: after a network partition had healed, there were two
    # leaders. Runs on the workers that the first one lost must not be started again.
    world.submit("h1", simulated_job("a", tasks=4, run_s=0.8, left_s=3.0))
    world.run(0.1)
    world.add_leader("h2", 2)
    world.run(0.45)
    assert not world.violations
    assert world.starts == 4


def test_a_leader_reclaims_its_workers(world: World) -> None:
    world.add_leader("h2", 2)
    world.run(0.1)
    world.perform("h2", world.leaders["h2"].resign())
    leader = world.leaders["h1"]
    for _ in range(20):
        world.perform("h1", leader.set_workers(world.now, world.now, world.entries))
        world.run(0.05)
    world.submit("h1", simulated_job("a"))
    world.run(0.5)
    assert world.job_outcome("a").error == ""
    assert not world.violations


def test_orphans_are_stopped(world: World) -> None:
    world.submit("h1", simulated_job("a", tasks=4, run_s=5.0, left_s=9.0))
    world.run(0.1)
    world.paused.add("h1")
    world.add_leader("h2", 2)
    world.run(1.0)
    assert not any(worker.running for worker in world.workers.values())


def test_a_task_that_was_done_before_the_takeover_is_not_run_again(
    world: World,
) -> None:
    job = simulated_job("a", tasks=2, run_s=0.1, left_s=3.0)
    world.submit("h1", job)
    world.run(0.05)
    world.paused.add("h1")
    world.run(0.3)
    world.add_leader("h2", 2)
    world.run(0.05)
    offer = world.handed_over(job.offer.job_id)
    world.perform("h2", world.leaders["h2"].handle_offer(world.now, "e1", 1, offer))
    assert world.job_outcome("a").error == ""
    assert world.starts == 2


# Once, a host that took over from a lost leader offered the jobs of its own callers to
# itself before its workers had replied. Their ends of runs were then ignored, and tasks
# that were done ran a second time.
def test_an_end_that_is_told_after_the_job_was_offered_again_counts(
    world: World,
) -> None:
    job = simulated_job("a", tasks=2, run_s=0.2, left_s=8.0)
    world.submit("h1", job)
    world.run(0.1)
    world.paused.add("h1")
    world.run(0.3)
    world.add_leader("h2", 2)
    offer = world.handed_over(job.offer.job_id)
    world.perform("h2", world.leaders["h2"].handle_offer(world.now, "e1", 1, offer))
    world.run(2.0)
    assert world.job_outcome("a").error == ""
    assert world.starts == 2
    assert not world.violations


def test_a_worker_with_runs_of_unknown_size_has_no_free_capacity(world: World) -> None:
    worker = world.workers["w0"]
    world.submit("h1", simulated_job("a", tasks=8, run_s=0.5, left_s=3.0))
    world.run(0.1)
    assert Run("a.0.0.0", 1) in {r for w in world.workers.values() for r in w.running}
    world.paused.add("h1")
    world.add_leader("h2", 2)
    world.run(0.05)
    leased = world.leaders["h2"].workers[worker.entry.name]
    assert leased.has_unknown_needs
    assert leased.free_capacity().cores == 0


def test_a_job_from_a_leader_that_resigned_waits_for_its_workers(world: World) -> None:
    # Guards against a fault that occurred: a job from a leader that had resigned was
    # started again before the new leader led the workers on which it still ran.
    entries = world.entries
    near = {name: entries[name] for name in ("w0", "w1")}
    far = {name: entries[name] for name in ("w2", "w3")}
    h1, h2 = world.leaders["h1"], world.add_leader("h2", 2, far)
    world.perform("h1", h1.set_workers(world.now, world.now, near, frozenset(far)))
    world.run(2.0)
    job = simulated_job("a", tasks=4, run_s=0.8, left_s=3.0)
    world.submit("h2", job)
    world.run(0.1)
    world.perform("h2", h2.resign())
    offer = world.handed_over(job.offer.job_id)
    world.perform("h1", h1.handle_offer(world.now, "e1", 1, offer))
    world.run(0.1)
    world.perform("h1", h1.set_workers(world.now, world.now, entries))
    world.run(1.5)
    assert not world.violations
    assert world.job_outcome("a").error == ""
    assert world.starts == 4


# Once, a host that had stopped to lead and led again took the repeated offer of a job
# that it had lost for a new job. It started the tasks before the worker of their first
# runs had replied.
def test_a_leader_that_leads_again_starts_nothing_of_its_former_jobs(
    world: World,
) -> None:
    leader = world.leaders["h1"]
    job = simulated_job("a", tasks=2, run_s=1.0, left_s=3.0)
    world.submit("h1", job)
    world.run(0.1)
    (worker,) = [worker for worker in world.workers.values() if worker.running]
    world.perform("h1", leader.resign())
    worker.unreachable = True
    world.perform("h1", leader.set_workers(world.now, world.now, world.entries))
    world.run(0.05)
    offered = OfferedJob(1, job.offer, tenure=7, repeated=True)
    world.submit("h1", replace(job, offer=as_handed_over(offered, 9)))
    world.run(0.1)
    worker.unreachable = False
    world.run(1.5)
    assert world.job_outcome("a").error == ""
    assert world.starts == 2
    assert not world.violations


# Guards against a wait, and an answer that it may have run, for a job that is new.
@pytest.mark.parametrize(("tenure", "repeated"), [(7, False), (9, True), (9, False)])
def test_a_new_job_is_not_taken_for_a_lost_one(tenure: int, repeated: bool) -> None:
    offer = simulated_job("a").offer
    assert as_handed_over(OfferedJob(1, offer, tenure, repeated), 9) == offer


def test_jobs_wait_for_workers_that_were_claimed_just_now(world: World) -> None:
    # After a restart of the fleet the backlog arrives at a leader whose workers have
    # not yet replied.
    world.add_leader("h2", 2)
    world.submit("h2", simulated_job("a", tasks=4))
    world.run(0.4)
    assert world.job_outcome("a").error == ""


def test_a_fenced_worker_that_is_no_longer_led_here_is_released(world: World) -> None:
    world.add_leader("h2", 2)
    world.run(0.45)
    leader = world.leaders["h1"]
    entries = {n: e for n, e in world.entries.items() if n != "w0"}
    world.perform("h1", leader.set_workers(world.now, world.now, entries))
    world.run(3.0)
    assert "w0" not in leader.workers


# Once, a leader beyond a cut worked on for 1.5 s after it had lost the host of a job,
# which takes 12 s for a distant host. The next one waited for 1.8 s: tasks ran twice.
def test_the_next_leader_starts_nothing_while_one_beyond_a_cut_works_on(
    world: World,
) -> None:
    entries = world.entries
    near = {name: entries[name] for name in ("w0", "w1")}
    far = {name: entries[name] for name in ("w2", "w3")}
    job = simulated_job("a", tasks=4, run_s=5.0, left_s=20.0)
    world.submit("h1", job)
    world.run(0.1)
    world.cut = lambda leader, worker: (leader == "h1") == (worker in far)
    world.run(HOST_TIMEOUT_S)
    h2 = world.add_leader("h2", 2, far)
    world.perform("h2", h2.set_workers(world.now, world.now, far, frozenset(near)))
    # The host repeats its offer to the next leader only. The first one is not told of
    # it, nor that it was lost.
    world.hand_over("h2", "a")
    world.run(DEFAULT_LIMITS.runs_ended_after_s - 0.1)
    assert world.starts == 4
    world.run(2.0)
    # No wait shows which tasks were done beyond the cut.
    assert world.starts == 4
    assert world.job_outcome("a").error == ErrorKind.WORKER_LOST.value
    assert not world.violations


# Such jobs were held until their callers gave up, although no task of them could start.
def test_a_job_whose_caller_does_not_wait_for_a_handover_is_answered_at_once(
    world: World,
) -> None:
    entries = world.entries
    near = {name: entries[name] for name in ("w0", "w1")}
    far = {name: entries[name] for name in ("w2", "w3")}
    h2 = world.add_leader("h2", 2, far)
    world.perform("h2", h2.set_workers(world.now, world.now, far, frozenset(near)))
    job = simulated_job("a", tasks=2, run_s=0.1, left_s=0.9, handovers=1)
    world.submit("h2", job)
    world.run(0.15)
    outcome = world.job_outcome("a")
    assert outcome.error == ErrorKind.WORKER_LOST.value
    assert not outcome.not_run
    assert world.starts == 0


def test_a_job_whose_tasks_all_run_on_led_workers_is_kept(world: World) -> None:
    entries = world.entries
    near = {name: entries[name] for name in ("w0", "w1")}
    far = {name: entries[name] for name in ("w2", "w3")}
    job = simulated_job("a", tasks=2, run_s=0.5, left_s=0.9)
    world.add_leader("h3", 3, far)
    world.run(0.1)
    world.submit("h3", job)
    world.run(0.05)
    world.paused.add("h3")
    h2 = world.add_leader("h2", 2, far)
    world.perform("h2", h2.set_workers(world.now, world.now, far, frozenset(near)))
    offer = world.handed_over(job.offer.job_id)
    world.perform("h2", h2.handle_offer(world.now, "e1", 1, offer))
    world.perform("h2", h2.tick(world.now))  # before the workers have replied
    world.run(0.8)
    assert world.job_outcome("a").error == ""
    assert world.starts == 2


# Guards against tasks that start at once when their job comes back to a leader that has
# not stopped all of its runs: another leader, which had it meanwhile, may run them.
def test_a_job_that_returns_while_it_stops_counts_as_handed_over(world: World) -> None:
    entries = world.entries
    near = {name: entries[name] for name in ("w0", "w1")}
    far = {name: entries[name] for name in ("w2", "w3")}
    h1, h2 = world.leaders["h1"], world.add_leader("h2", 2, far)
    world.perform("h1", h1.set_workers(world.now, world.now, near, frozenset(far)))
    world.perform("h2", h2.set_workers(world.now, world.now, far, frozenset(near)))
    world.run(2.0)
    world.submit("h1", simulated_job("a", tasks=1, run_s=5.0, left_s=9.0))
    world.run(0.2)
    [runner] = (worker for worker in world.workers.values() if worker.running)
    runner.unreachable = True  # no stop order reaches it
    world.hand_over("h2", "a")
    withdrawn = JobWithdrawn("a")
    world.perform("h1", h1.handle_withdrawal(world.now, "e1", withdrawn))
    world.run(1.4)
    assert world.starts == 1  # h2 does not know what has run at h1
    world.paused.add("h2")
    runner.unreachable = False
    offer = world.handed_over("a")
    assert offer.handovers == 2
    world.perform("h1", h1.handle_offer(world.now, "e1", 1, offer))
    world.run(0.4)
    assert world.starts == 1
    assert not world.violations

"""Jobs that are submitted again while the state of their earlier runs is unknown."""

from poplarhill_dev.leased import World, simulated_job
from poplarhilld.peers.messages import JobWithdrawn


# Guards against a past fault: when the lease of a worker that had stopped responding
# expired, runs of the same number on other workers were taken to have ended. The runs
# of a job that is submitted again are numbered from 1 again, so its tasks ran twice at
# a time.
def test_an_expired_lease_ends_no_runs_of_a_resubmitted_job_on_other_workers(
    world: World,
) -> None:
    world.submit("h1", simulated_job("a", tasks=2, run_s=0.3, left_s=0.6))
    world.run(0.1)
    unresponsive = next(worker for worker in world.workers.values() if worker.running)
    unresponsive.unreachable = True
    world.run(0.6)
    left = world.leaders["h1"].handle_withdrawal(world.now, "e1", JobWithdrawn("a"))
    world.perform("h1", left)
    world.run(3.0)
    world.submit("h1", simulated_job("a", tasks=2, run_s=0.5, left_s=5.0))
    world.run(2.0)
    assert not world.violations


# Guards against a past fault: a worker that another leader had claimed counted as one
# whose runs are known. A job that was handed over from that leader started here while
# it still ran there.
def test_a_job_from_another_leader_waits_for_the_workers_it_had_claimed(
    world: World,
) -> None:
    world.run(0.1)
    world.add_leader("h2", 2, {"w1": world.entries["w1"]})
    world.run(0.5)
    world.submit("h2", simulated_job("a", tasks=2, run_s=2.0, left_s=5.0))
    world.run(0.1)
    assert len(world.workers["w1"].running) == 2
    world.paused.add("h2")
    world.submit("h1", simulated_job("a", tasks=2, run_s=2.0, left_s=5.0, handovers=1))
    world.run(4.0)
    assert not world.violations


# Guards against a past fault: an offer that was delayed by a broken connection arrived
# after its job had been refused as not run. It was accepted as a new job, which ran
# after its caller had received status 503.
def test_an_offer_that_arrives_after_its_refusal_starts_nothing(world: World) -> None:
    for worker in world.workers.values():
        worker.unreachable = True
    world.run(3.0)
    job = simulated_job("a", tasks=2, left_s=5.0)
    world.submit("h1", job)
    assert world.job_outcome("a").not_run
    for worker in world.workers.values():
        worker.unreachable = False
    world.run(3.0)
    world.submit("h1", job)
    world.run(1.0)
    assert world.starts == 0


# Once, on a simulated day, a leader without processor time took an entry host for lost
# and dropped its job, which had run. The host offered the job again, was told that it
# had not run, and answered its caller so.
def test_a_job_that_ran_is_not_refused_as_not_run_when_it_is_offered_again(
    world: World,
) -> None:
    world.run(0.1)
    job = simulated_job("a", tasks=2, run_s=0.3, left_s=5.0)
    world.submit("h1", job)
    world.run(0.1)
    assert world.starts == 2
    world.silent_hosts.add("e1")
    world.perform("h1", world.leaders["h1"].handle_lost_host(world.now, "e1"))
    world.run(0.5)
    for worker in world.workers.values():
        worker.unreachable = True
    world.run(2.0)
    world.submit("h1", job)
    outcome = world.job_outcome("a")
    assert outcome.error
    assert not outcome.not_run


# Guards against a past fault: a repeated offer that arrived after its job was closed,
# while a run was still to be stopped, counted as a new submission. The job ran again
# after its caller had been answered.
def test_a_repeated_offer_of_a_closed_job_does_not_start_it_again(world: World) -> None:
    job = simulated_job("a", tasks=2, run_s=0.2, left_s=0.5)
    job.runs.update({"a.0.0.0": 2.0, "a.0.0.1": 2.0})
    world.submit("h1", job)
    world.run(0.4)
    for worker in world.workers.values():
        worker.unreachable = bool(worker.running)
    world.run(0.2)
    assert world.leaders["h1"].jobs["a"].stopping
    world.submit("h1", job)
    assert world.leaders["h1"].jobs["a"].stopping
    for worker in world.workers.values():
        worker.unreachable = False
    world.run(2.0)
    assert world.starts == 2

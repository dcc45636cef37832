"""Jobs from offer to outcome at one leader."""

from poplarhill import ErrorKind
from poplarhill_dev.leased import World, simulated_job
from poplarhilld.peers import JobEnded
from poplarhilld.peers.messages import JobWithdrawn


def test_a_job_is_complete_when_all_its_tasks_are_done(world: World) -> None:
    world.submit("h1", simulated_job("a", tasks=8))
    world.run(0.4)
    assert world.job_outcome("a").error == ""
    assert world.starts == 8
    assert not world.violations


def test_tasks_beyond_the_capacity_wait_for_it(world: World) -> None:
    world.submit("h1", simulated_job("a", tasks=8, left_s=5.0))
    world.submit("h1", simulated_job("b", tasks=8, left_s=5.0))
    world.run(0.1)
    assert world.starts == 8
    world.run(0.6)
    assert world.job_outcome("b").error == ""
    assert not world.violations


def test_a_job_that_cannot_meet_its_deadline_is_refused_at_once(world: World) -> None:
    for number in range(30):
        world.submit("h1", simulated_job(f"j{number}", tasks=8, left_s=1.5))
    refused = world.job_outcome("j29")
    assert refused.error == ErrorKind.OVERLOADED.value
    assert refused.not_run
    assert refused.retry_after_s >= 1.0


def test_a_queued_job_that_can_no_longer_meet_its_deadline_is_closed(
    world: World,
) -> None:
    world.submit("h1", simulated_job("long", tasks=8, run_s=1.0, left_s=9.0))
    world.submit("h1", simulated_job("a", tasks=1, run_s=0.5, left_s=9.0, cores=16.0))
    job = world.leaders["h1"].jobs["a"]
    job.deadline = world.now + 0.6
    world.run(0.4)
    report = world.job_outcome("a")
    assert report.error == ErrorKind.OVERLOADED.value
    assert report.not_run


def test_a_poison_job_fails_after_its_attempts(world: World) -> None:
    world.submit("h1", simulated_job("bad", tasks=1, poison=True))
    world.run(1.0)
    assert world.job_outcome("bad").error == ErrorKind.TASK_FAILED.value
    assert world.starts == 2


# After 10 s a leader took the repeated offer of a job that it had completed for a new
# job, and ran it again.
def test_an_outcome_is_known_until_the_caller_stops_waiting(world: World) -> None:
    job = simulated_job("a", left_s=13.0)
    world.submit("h1", job)
    world.run(11.0)
    world.submit("h1", simulated_job("later"))
    world.run(0.5)
    starts = world.starts
    world.reports.clear()
    world.submit("h1", job)
    assert world.job_outcome("a").error == ""
    assert world.starts == starts


def test_a_job_too_large_for_any_worker_is_refused(world: World) -> None:
    world.submit("h1", simulated_job("huge", cores=64.0))
    assert world.job_outcome("huge").error == ErrorKind.IMPOSSIBLE.value
    assert world.job_outcome("huge").not_run


def test_a_job_whose_caller_has_left_is_stopped(world: World) -> None:
    world.submit("h1", simulated_job("a", run_s=5.0, left_s=9.0))
    world.run(0.1)
    leader = world.leaders["h1"]
    world.perform("h1", leader.handle_withdrawal(world.now, "e1", JobWithdrawn("a")))
    world.run(0.1)
    assert not any(worker.running for worker in world.workers.values())
    assert not leader.jobs


def test_a_cancelled_job_is_not_accepted_again(world: World) -> None:
    leader = world.leaders["h1"]
    world.perform(
        "h1", leader.handle_withdrawal(world.now, "e2", JobWithdrawn("a", True))
    )
    world.submit("h1", simulated_job("a"))
    assert world.job_outcome("a").error == ErrorKind.CANCELLED.value
    world.run(0.2)
    assert world.starts == 0


def test_the_same_job_from_two_hosts_runs_once(world: World) -> None:
    job = simulated_job("a")
    world.submit("h1", job, "e1")
    world.submit("h1", job, "e2")
    world.run(0.5)
    assert world.starts == 2
    assert {host for _, host, _ in world.reports} == {"e1", "e2"}
    assert not world.violations


def test_the_outcome_is_reported_again_for_a_repeated_offer(world: World) -> None:
    job = simulated_job("a")
    world.submit("h1", job)
    world.run(0.5)
    world.reports.clear()
    world.submit("h1", job)
    assert world.job_outcome("a").error == ""
    assert world.starts == 2


def test_the_jobs_of_a_lost_host_are_stopped(world: World) -> None:
    world.submit("h1", simulated_job("a", run_s=5.0, left_s=9.0))
    world.run(0.1)
    world.perform("h1", world.leaders["h1"].handle_lost_host(world.now, "e1"))
    world.run(0.2)
    assert not any(worker.running for worker in world.workers.values())


def test_a_job_that_is_being_stopped_is_not_closed_again(world: World) -> None:
    world.submit("h1", simulated_job("a", run_s=5.0, left_s=9.0))
    world.run(0.1)
    leader = world.leaders["h1"]
    world.perform(
        "h1", leader.handle_withdrawal(world.now, "e1", JobWithdrawn("a", True))
    )
    assert not leader.handle_lost_host(world.now, "e2")


def test_new_jobs_start_before_a_late_retry(world: World) -> None:
    # Guards against a past fault: after a power cut, all callers retried at once. Most
    # of their jobs were past their objective, and new jobs waited behind them.
    world.submit("h1", simulated_job("first", tasks=8, run_s=0.1, left_s=1.5))
    world.submit("h1", simulated_job("again", tasks=8, run_s=0.2, left_s=0.9))
    world.submit("h1", simulated_job("new", tasks=8, run_s=0.2, left_s=1.5))
    world.run(1.5)
    ended = {r.job_id: at for at, _, r in world.reports if isinstance(r, JobEnded)}
    assert ended["new"] < ended["again"]


# A caller that stated a long time made all other jobs of its route count as retries:
# they went behind it as late, or were refused as such.
def test_a_caller_that_states_a_long_time_delays_no_others(world: World) -> None:
    world.submit("h1", simulated_job("first", tasks=8, run_s=0.1, left_s=2.1))
    for number, left_s in enumerate((2.0, 2.3, 2.2, 1.9)):
        job = simulated_job(f"j{number}", tasks=2, run_s=0.2, left_s=left_s)
        world.submit("h1", job)
    world.submit("h1", simulated_job("patient", tasks=8, run_s=0.2, left_s=4.8))
    world.run(2.0)
    ended = {r.job_id: at for at, _, r in world.reports if isinstance(r, JobEnded)}
    assert max(ended[f"j{number}"] for number in range(4)) < ended["patient"]
    assert not any(r.error for _, _, r in world.reports if isinstance(r, JobEnded))

"""Jobs whose entry host is silent: their runs end before callers send them again."""

import pytest

from poplarhill import ErrorKind
from poplarhill_dev import leased
from poplarhill_dev.leased import SimulatedWorker, World, simulated_job, worker_entry

RESEND_DELAY_S = 1.3
HOST_PAUSE_S = 0.9  # shorter than what three lost repeats take


# Once, a leader ran the tasks of a lost entry host until 1.5 s after it had noticed the
# loss, 12 s for a distant host. Callers sent the job again after 1.3 s, to a host that
# chose another leader, and its tasks ran twice at a time.
@pytest.mark.parametrize("lost_after_s", [0.05, 0.29, 0.31, 0.8])
def test_no_run_is_left_when_callers_of_a_lost_host_send_a_job_again(
    world: World, lost_after_s: float
) -> None:
    world.submit("h1", simulated_job("a", tasks=4, run_s=5.0, left_s=9.0))
    world.run(lost_after_s)
    assert sum(len(worker.running) for worker in world.workers.values()) == 4
    world.silent_hosts.add("e1")
    world.run(RESEND_DELAY_S - 0.05)
    assert not any(worker.running for worker in world.workers.values())


# Guards against jobs that are stopped although their host still wants them.
def test_a_job_outlasts_a_short_silence_of_its_host(world: World) -> None:
    world.submit("h1", simulated_job("a", tasks=4, run_s=2.5, left_s=5.0))
    world.run(0.8)
    world.silent_hosts.add("e1")
    world.run(HOST_PAUSE_S - 0.3)
    world.silent_hosts.clear()
    world.run(2.0)
    assert world.job_outcome("a").error == ""
    assert world.starts == 4


# Guards against a leader that takes its own pause for the silence of the hosts: their
# offers wait unread.
@pytest.mark.parametrize("pause_s", [0.6, 0.9])
def test_a_leader_that_resumes_reads_its_offers_before_it_stops_jobs(
    world: World, pause_s: float
) -> None:
    world.submit("h1", simulated_job("a", tasks=4, run_s=2.0, left_s=5.0))
    world.run(0.25)
    world.paused.add("h1")
    world.run(pause_s)
    world.paused.clear()
    world.run(2.5)
    assert world.job_outcome("a").error == ""


# Once, a leader whose every tick was late put off the end of lapsed jobs for ever.
def test_a_leader_that_is_always_late_ends_lapsed_jobs(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(leased, "TICK_S", 0.25)
    world.submit("h1", simulated_job("a", tasks=4, run_s=5.0, left_s=9.0))
    world.run(0.6)
    world.silent_hosts.add("e1")
    world.run(1.5)
    assert not any(worker.running for worker in world.workers.values())


# Each late tick put off the end of lapsed jobs, also those whose repeats were missing
# before it, so that a leader with every other tick late never ended them.
def test_a_leader_with_every_other_tick_late_ends_lapsed_jobs(world: World) -> None:
    world.submit("h1", simulated_job("a", tasks=4, run_s=9.0, left_s=9.0))
    world.run(0.65)
    world.silent_hosts.add("e1")
    begin = world.now
    while world.now < begin + 3.0:
        for steps in (6, 1):
            for _ in range(steps):
                world.run(0.04)  # too short to tick
            world.perform("h1", world.leaders["h1"].tick(world.now))
    assert not any(worker.running for worker in world.workers.values())


# Guards against starting tasks that nobody may wait for any more.
def test_a_resumed_leader_starts_nothing_on_offers_that_have_lapsed(
    world: World,
) -> None:
    world.submit("h1", simulated_job("a", tasks=8, run_s=0.5, left_s=9.0))
    world.submit("h1", simulated_job("b", tasks=8, run_s=0.5, left_s=9.0))
    world.run(0.1)
    world.silent_hosts.add("e1")
    world.paused.add("h1")
    world.run(2.0)
    starts = world.starts
    world.paused.clear()
    world.run(3.0)
    assert world.starts == starts


# Guards against losing what was done: a host that was silent for a while still gets
# the outcome, and its job runs once.
def test_a_host_that_was_silent_gets_the_outcome_of_its_job(world: World) -> None:
    world.submit("h1", simulated_job("a", tasks=4, run_s=0.9, left_s=9.0))
    world.run(0.1)
    world.silent_hosts.add("e1")
    world.run(2.0)
    world.silent_hosts.clear()
    world.submit("h1", world.jobs["a"])
    assert world.job_outcome("a").error == ""
    assert world.starts == 4


# Guards against running a task again that may have had an effect before it was stopped.
def test_a_job_that_lapsed_while_it_ran_does_not_run_again(world: World) -> None:
    world.submit("h1", simulated_job("a", tasks=4, run_s=1.5, left_s=9.0))
    world.run(0.1)
    world.silent_hosts.add("e1")
    world.run(1.4)
    world.submit("h1", world.jobs["a"])
    world.run(3.0)
    outcome = world.job_outcome("a")
    assert outcome.error == ErrorKind.WORKER_LOST.value
    assert not outcome.not_run
    assert world.starts == 4


# Guards against losing a job that only had to wait when its host was silent.
def test_a_job_that_lapsed_before_it_ran_is_taken_again(world: World) -> None:
    for number in range(2):
        world.submit("h1", simulated_job(f"a{number}", tasks=4, run_s=1.2, left_s=9.0))
    world.run(0.1)
    world.submit("h1", simulated_job("b", tasks=4, run_s=0.2, left_s=9.0), "e2")
    world.silent_hosts.add("e2")
    world.run(1.15)
    world.silent_hosts.clear()
    world.run(3.0)
    assert world.job_outcome("b").error == ""
    assert world.starts == 12


# Once, a leader that had been paused took the offers that waited in its connections for
# new ones. Their hosts had handed the jobs over to another leader, which ran them.
def test_a_resumed_leader_ignores_offers_that_were_made_long_before() -> None:
    world = World(SimulatedWorker(worker_entry(f"w{n}")) for n in range(4))
    names = list(world.entries)
    for number, name in enumerate(("h1", "h2")):
        led = {one: world.entries[one] for one in names[2 * number : 2 * number + 2]}
        others = frozenset(names) - led.keys()
        leader = world.add_leader(name, number + 1, led)
        world.perform(name, leader.set_workers(world.now, world.now, led, others))
    world.run(0.2)
    world.paused.add("h1")
    world.submit("h1", simulated_job("a", tasks=2, run_s=2.0, left_s=8.0))
    world.run(0.7)
    world.hand_over("h2", "a")
    world.run(1.5)
    # The next leader can't know that the first one has never read the offer.
    assert world.job_outcome("a").error == ErrorKind.WORKER_LOST.value
    world.paused.clear()
    world.run(3.0)
    assert world.starts == 0
    assert not world.violations


# Guards against a deadline that counts from the arrival of a delayed offer.
def test_the_time_that_an_offer_was_under_way_is_not_given_twice(world: World) -> None:
    offer = simulated_job("a", tasks=2, run_s=2.0, left_s=1.0).offer
    world.leaders["h1"].handle_offer(world.now, "e1", 1, offer, age_s=0.5)
    assert world.leaders["h1"].jobs == {}
    offer = simulated_job("b", tasks=2, run_s=0.2, left_s=1.0).offer
    world.leaders["h1"].handle_offer(world.now, "e1", 2, offer, age_s=0.5)
    job = world.leaders["h1"].jobs["b"]
    assert job.deadline == pytest.approx(world.now + 0.5)
    assert job.arrived_at == pytest.approx(world.now - 0.5)

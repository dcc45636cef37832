"""Jobs that come again while runs of their first time are still in doubt."""

from poplarhill_dev.leased import World, simulated_job
from poplarhilld.peers.messages import JobWithdrawn


# A silent worker's lapse was taken as the end of new runs on other workers, whose
# numbers begin at 1 again: tasks of a job that was sent again ran twice at a time.
def test_a_lapse_leaves_runs_elsewhere_of_a_job_sent_again(world: World) -> None:
    world.submit("h1", simulated_job("a", tasks=2, run_s=0.3, left_s=0.6))
    world.run(0.1)
    silent = next(worker for worker in world.workers.values() if worker.running)
    silent.mute = True
    world.run(0.6)
    left = world.leaders["h1"].withdraw(world.now, "e1", JobWithdrawn("a"))
    world.perform("h1", left)
    world.run(3.0)
    world.submit("h1", simulated_job("a", tasks=2, run_s=0.5, left_s=5.0))
    world.run(2.0)
    assert not world.broken


# A worker that another leader had taken counted as settled: a job that came from
# that leader started here while it still ran there.
def test_a_job_from_another_leader_waits_for_the_workers_taken_by_it(
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
    assert not world.broken


# An offer that was held back on a cut link arrived after its job was refused as not
# run; it was taken as a new one, and ran after its caller had got 503.
def test_an_offer_that_comes_after_its_refusal_starts_nothing(world: World) -> None:
    for worker in world.workers.values():
        worker.mute = True
    world.run(3.0)
    job = simulated_job("a", tasks=2, left_s=5.0)
    world.submit("h1", job)
    assert world.ended("a").not_run
    for worker in world.workers.values():
        worker.mute = False
    world.run(3.0)
    world.submit("h1", job)
    world.run(1.0)
    assert world.starts == 0

"""A seed determines the schedule of faults."""

from poplarhill_dev.soak.faults import EndHost, HarmLink
from poplarhill_dev.soak.schedule import draw_schedule

HOSTS = ["h1", "h2", "h3", "h4"]
WORKERS = ["w1", "w2", "w3"]
SECONDS = 60.0


# A failed seed can be reproduced only if it always draws the same faults.
def test_a_seed_always_draws_the_same_faults() -> None:
    for seed in range(20):
        first = draw_schedule(seed, HOSTS, WORKERS, SECONDS)
        assert first == draw_schedule(seed, HOSTS, WORKERS, SECONDS)


def test_seeds_differ_and_cover_every_kind_of_fault() -> None:
    schedules = [draw_schedule(seed, HOSTS, WORKERS, SECONDS) for seed in range(60)]
    assert len({repr(schedule.faults) for schedule in schedules}) == len(schedules)
    kinds = {type(f.fault).__name__ for s in schedules for f in s.faults}
    assert len(kinds) == 10
    faults = [f.fault for s in schedules for f in s.faults]
    assert {f.kill for f in faults if isinstance(f, EndHost)} == {True, False}
    assert {f.fault.held for f in faults if isinstance(f, HarmLink)} == {True, False}


# Widely spaced faults would never hit a host that still recovers from the last one.
def test_faults_follow_each_other_closely() -> None:
    for seed in range(20):
        times = [at for at, _ in draw_schedule(seed, HOSTS, WORKERS, SECONDS).faults]
        gaps = [after - at for at, after in zip(times, times[1:], strict=False)]
        assert times == sorted(times)
        assert min(gaps) < 0.5


def test_a_larger_fleet_gets_more_faults() -> None:
    many = [f"h{number}" for number in range(1, 31)]
    few = draw_schedule(1, HOSTS, WORKERS, SECONDS)
    assert len(draw_schedule(1, many, WORKERS, SECONDS).faults) > 2 * len(few.faults)

"""A host under more work than its processor carries, as a model of its event loop."""

import pytest

from poplarhill_dev.loop_model import Costs, LoopModel
from poplarhilld.overload import OverloadBegan, OverloadControl, OverloadEnded

# Processor time of a job on a host of one core and on one of 0.1 core. A refusal takes
# 0.12 of it, as measured, and a fifth of the processor goes to heartbeats and leases.
JOBS_S = (0.002, 0.02)


def costs_of(job_s: float, refusal: float = 0.12, background: float = 0.2) -> Costs:
    return Costs(0.4 * job_s, 0.2 * job_s, refusal * job_s, background)


def run(costs: Costs, load: float, until_s: float = 20.0, **options):
    return LoopModel(costs, lambda at: load * costs.capacity, **options).run(until_s)


# Guards against a past fault: hosts took on what they could not carry, so that every
# job was late and 0.35 of the jobs' worth went to callers that gave up.
@pytest.mark.parametrize("job_s", JOBS_S)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_goodput_stays_flat_beyond_saturation(job_s: float, seed: int) -> None:
    costs = costs_of(job_s)
    served = {
        load: run(costs, load, seed=seed).served_per_s(2.0, 18.0)
        for load in (1.0, 1.25, 1.5, 2.0)
    }
    assert served[1.0] >= 0.9 * costs.capacity
    assert served[1.25] >= 0.9 * served[1.0]
    assert served[1.5] >= 0.9 * served[1.0]
    assert served[2.0] >= 0.8 * served[1.0]


# Shows that the model has the fault: without the control nothing ends in time.
def test_without_the_control_goodput_collapses() -> None:
    costs = costs_of(0.002)
    result = run(costs, 1.5, controlled=False)
    assert result.served_per_s(2.0, 18.0) < 0.1 * costs.capacity


# What was accepted is finished, and in time: late answers were the waste.
@pytest.mark.parametrize("job_s", JOBS_S)
@pytest.mark.parametrize("load", [1.5, 3.0])
def test_accepted_jobs_end_in_time(job_s: float, load: float) -> None:
    result = run(costs_of(job_s, refusal=0.05), load)
    assert len(result.late) <= 0.01 * len(result.served)
    assert max(at - arrived for arrived, at, _ in result.refused) <= 1.0


# Guards against a host that alternates between accepting nothing and everything.
@pytest.mark.parametrize("load", [1.2, 1.5, 2.0])
def test_the_accepted_share_does_not_oscillate(load: float) -> None:
    result = run(costs_of(0.002), load)
    settled = [share for at, share in result.shares if at > 3.0]
    assert max(settled) - min(settled) <= 0.6
    assert min(settled) >= 0.2
    assert max(settled) < 1.0
    by_second = [
        [share for at, share in result.shares if second <= at < second + 1]
        for second in range(3, 19)
    ]
    means = [sum(shares) / len(shares) for shares in by_second]
    assert max(means) - min(means) <= 0.2


@pytest.mark.parametrize("job_s", JOBS_S)
def test_all_jobs_are_accepted_a_second_after_the_load_falls(job_s: float) -> None:
    costs = costs_of(job_s)
    model = LoopModel(costs, lambda at: (3.0 if at < 5.0 else 0.5) * costs.capacity)
    result = model.run(10.0)
    assert all(share == 1.0 for at, share in result.shares if at >= 6.0)
    assert not [at for at, _, _ in result.refused if at >= 6.0]
    assert isinstance(result.lines[-1][1], OverloadEnded)


# A burst at the start had failed 61 % of the jobs within two seconds.
def test_a_burst_is_refused_from_its_first_half_second_on() -> None:
    costs = costs_of(0.002, refusal=0.05)
    model = LoopModel(costs, lambda at: (4.0 if 2 <= at < 4 else 0.5) * costs.capacity)
    result = model.run(8.0)
    assert result.refused[0][1] <= 2.5
    assert isinstance(result.lines[0][1], OverloadBegan)
    served = [at for at in result.served if 2 <= at < 4]
    assert len(served) >= 0.8 * 2 * costs.capacity
    assert not result.late


# Usual deployments must see no change.
@pytest.mark.parametrize("job_s", JOBS_S)
@pytest.mark.parametrize("load", [0.3, 0.6, 0.8])
def test_a_host_that_carries_its_load_refuses_nothing(
    job_s: float, load: float
) -> None:
    result = run(costs_of(job_s), load)
    assert len(result.refused) <= (1 if job_s > 0.01 and load > 0.7 else 0)
    assert not result.late


# A process that was paused has one late turn; the next ones show whether it has a
# backlog that it cannot work off.
def test_a_pause_alone_refuses_nothing() -> None:
    costs = costs_of(0.002)
    model = LoopModel(costs, lambda at: 0.2 * costs.capacity)
    result = model.run(6.0, pauses={2.0: 0.4, 4.0: 0.2})
    assert not result.refused


# A host that was stopped for 2 s and resumed on a loaded machine refused jobs, since
# one turn was very late and the next one a little.
def test_a_resumed_host_on_a_loaded_machine_refuses_nothing() -> None:
    control = OverloadControl(0.0, 1.0)
    now = processor_s = 0.0
    for overdue_s in (0.0, 0.02, 2.0, 0.2, 0.08, 0.06, 0.0):
        control.expect_turn(now + 0.1)
        now += 0.1 + overdue_s
        processor_s += 0.03
        assert control.find_refusal(now) is None
        assert not control.note_turn(now, processor_s)


def test_jobs_of_the_best_priority_are_refused_last() -> None:
    result = run(costs_of(0.002), 1.5, priority=lambda number: number % 2)
    accepted = result.accepted_by_priority
    jobs = (len(result.refused) + sum(accepted.values())) / 2
    assert accepted[0] >= 0.95 * jobs
    assert 0 < accepted[1] <= 0.6 * jobs


# Callers that all return after the same time bring the same burst again.
def test_refused_callers_return_spread_over_time() -> None:
    result = run(costs_of(0.002), 3.0, until_s=4.0)
    times = [retry_after_s for _, _, retry_after_s in result.refused]
    assert min(times) >= 1.0
    for begin in (1.0, 1.5, 2.0, 2.5):
        share = sum(begin <= time < begin + 0.5 for time in times) / len(times)
        assert 0.08 <= share <= 0.4


def test_the_log_has_one_line_a_second_at_most() -> None:
    result = run(costs_of(0.002), 3.0)
    assert len(result.lines) <= 22

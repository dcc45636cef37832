"""Guarantees of the placement of one host."""

from collections import Counter

import pytest

from poplarhill.configuration import Configuration
from poplarhilld.placement.policies import (
    MAX_CANDIDATES,
    choose_candidate,
    policy_from_config,
)


def end_task(placement, running: list, worker: str) -> None:
    """End the first task on a worker and remove it from `running`."""
    item = next(item for item in running if item.worker == worker)
    running.remove(item)
    placement.release(worker, item.task)


def jobs_of(placed: list) -> list[str]:
    return [item.task.job for item in placed]


def test_a_host_fills_its_share_and_then_waits_for_a_slot(
    make_placement, make_job, view
) -> None:
    placement = make_placement()
    placement.enqueue(0.0, make_job("j", 100))
    placed = placement.place(0.0, view)
    assert Counter(p.worker for p in placed) == {f"b{n}": 1 for n in range(4)}
    assert placement.place(0.0, view) == []
    end_task(placement, placed, "b2")
    assert [p.worker for p in placement.place(0.0, view)] == ["b2"]


def test_a_dead_hosts_share_is_divided_among_the_live_hosts(
    make_placement, make_job, view
) -> None:
    placement = make_placement()
    placement.enqueue(0.0, make_job("j", 100))
    before = len(placement.place(0.0, view))
    placement.set_hosts(("h1", "h2"))
    assert len(placement.place(0.0, view)) == before
    assert placement.slots("booking") == 8


@pytest.mark.parametrize("hosts", [1, 4, 9, 40])
def test_every_host_can_send_a_task_even_with_fewer_slots_than_hosts(
    make_placement, make_job, view, hosts
) -> None:
    names = tuple(f"h{n}" for n in range(hosts))
    for host in names:
        placement = make_placement(host, names, workers=1, slots=1)
        placement.enqueue(0.0, make_job("j", 3))
        assert len(placement.place(0.0, view)) == 1


def test_a_host_whose_workers_are_all_down_uses_one_slot_of_another_worker(
    make_placement, make_job, view
) -> None:
    placement = make_placement("h1", workers=2, slots=2)
    placement.enqueue(0.0, make_job("j", 3))
    [own] = placement.place(0.0, view)
    placement.release(own.worker, own.task)
    view.down.add(own.worker)
    assert [p.worker != own.worker for p in placement.place(0.0, view)] == [True]


def test_the_job_with_the_fewest_tasks_goes_first(
    make_placement, make_job, view
) -> None:
    placement = make_placement()
    placement.enqueue(0.0, make_job("large", 100))
    running = placement.place(0.0, view)
    placement.enqueue(0.1, make_job("small", 1))
    end_task(placement, running, "b0")
    assert jobs_of(placement.place(0.1, view)) == ["small"]


@pytest.mark.parametrize(("deadline", "overtaken_by"), [(1000.0, 100), (4.0, 20)])
def test_a_large_job_is_overtaken_only_within_its_rank_delay(
    make_placement, make_job, view, deadline, overtaken_by
) -> None:
    placement = make_placement(workers=1)
    placement.enqueue(0.0, make_job("large", 160, deadline=deadline))
    running = placement.place(0.0, view)
    order = []
    for turn in range(200):
        now = turn / 10
        placement.enqueue(now, make_job(f"small{turn}", 1))
        end_task(placement, running, "b0")
        placed = placement.place(now, view)
        running += placed
        order += jobs_of(placed)
    assert order.index("large") <= overtaken_by


def test_first_come_order_keeps_the_order_of_arrival(
    make_placement, make_job, view
) -> None:
    placement = make_placement(order="first_come")
    placement.enqueue(0.0, make_job("large", 6))
    placement.enqueue(0.0, make_job("small", 1))
    running = placement.place(0.0, view)
    order = []
    for _ in range(3):
        end_task(placement, running, "b0")
        placed = placement.place(0.0, view)
        running += placed
        order += jobs_of(placed)
    assert order == ["large", "large", "small"]


def test_a_full_service_does_not_block_another(make_placement, make_job, view) -> None:
    placement = make_placement()
    placement.enqueue(0.0, make_job("a", 50, "booking"))
    placement.enqueue(0.0, make_job("b", 1, "verdict"))
    assert jobs_of(placement.place(0.0, view)).count("b") == 1


def test_a_discarded_jobs_tasks_leave_the_queue_at_once(
    make_placement, make_job, view
) -> None:
    placement = make_placement()
    placement.enqueue(0.0, make_job("gone", 50))
    placement.enqueue(0.0, make_job("next", 60))
    running = placement.place(0.0, view)
    placement.discard("gone")
    assert placement.waiting == 60
    end_task(placement, running, "b0")
    assert jobs_of(placement.place(0.0, view)) == ["next"]


def test_a_task_put_back_is_placed_again_elsewhere(
    make_placement, make_job, view
) -> None:
    placement = make_placement()
    placement.enqueue(0.0, make_job("j", 1))
    [first] = placement.place(0.0, view)
    placement.release(first.worker, first.task)
    placement.put_back(first.task)
    view.down.add(first.worker)
    [again] = placement.place(0.0, view)
    assert again.task == first.task
    assert again.worker != first.worker


def test_a_slow_worker_is_used_only_when_waiting_would_take_longer(
    make_placement, make_job, view
) -> None:
    placement = make_placement()
    view.slowdowns["b0"] = 5.0
    placement.enqueue(0.0, make_job("small", 4))
    assert "b0" not in {p.worker for p in placement.place(0.0, view)}
    placement.enqueue(0.0, make_job("large", 100))
    assert "b0" in {p.worker for p in placement.place(0.0, view)}


def test_workers_of_the_own_data_centre_are_preferred(
    make_placement, make_job, view
) -> None:
    placement = make_placement()
    placement.enqueue(0.0, make_job("j", 2))
    assert {p.worker for p in placement.place(0.0, view)} == {"b0", "b2"}


@pytest.mark.parametrize(
    "policy", ["random", "round_robin", "least_outstanding", "two_choices", "shares"]
)
def test_a_logged_choice_can_be_replayed(
    make_placement, make_job, view, policy
) -> None:
    placement = make_placement(policy=policy, workers=30, slots=8)
    placement.enqueue(0.0, make_job("j", 100))
    placed = placement.place(0.0, view)
    defaults = Configuration.from_document(1, {"defaults": {"policy": policy}}).defaults
    assert len(placed) == 60
    for item in placed:
        assert len(item.candidates) <= MAX_CANDIDATES
        chosen = choose_candidate(policy_from_config(defaults), item.candidates)
        assert chosen.worker == item.worker


@pytest.mark.parametrize(
    ("free_slots", "beyond_share", "sent"), [(3, 4, 3), (9, 2, 3), (9, 0, 1), (0, 4, 1)]
)
def test_reported_free_slots_are_used_up_to_the_bound(
    make_placement, make_job, view, free_slots, beyond_share, sent
) -> None:
    placement = make_placement(workers=1, beyond_share=beyond_share)
    placement.enqueue(0.0, make_job("j", 100))
    running = placement.place(0.0, view)
    end_task(placement, running, "b0")
    placement.note_free_slots(0.0, "b0", free_slots)
    assert len(placement.place(0.0, view)) == sent


def test_expired_reports_of_free_slots_are_not_used(
    make_placement, make_job, view
) -> None:
    placement = make_placement(workers=1)
    placement.enqueue(0.0, make_job("j", 1))
    running = placement.place(0.0, view)
    end_task(placement, running, "b0")
    placement.note_free_slots(0.0, "b0", 4)
    placement.enqueue(0.2, make_job("k", 100))
    assert len(placement.place(0.2, view)) == 1


def test_slots_are_divided_among_customers_by_weight(
    make_placement, make_job, view
) -> None:
    customers = {"jacaranda": {"weight": 3}, "kelani": {"weight": 1}}
    placement = make_placement(workers=2, slots=256, customers=customers)
    for customer in customers:
        for number in range(200):
            job = make_job(f"{customer}{number}", 1)._replace(customer=customer)
            placement.enqueue(0.0, job)
    placed = jobs_of(placement.place(0.0, view))
    assert sum(job.startswith("jacaranda") for job in placed) == 96
    assert len(placed) == 128


def test_a_burst_of_one_customer_does_not_delay_another(
    make_placement, make_job, view
) -> None:
    placement = make_placement(slots=32)
    for number in range(500):
        job = make_job(f"burst{number}", 1)._replace(customer="bursting")
        placement.enqueue(0.0, job)
    running = placement.place(0.0, view)
    placement.enqueue(0.1, make_job("other", 100))
    end_task(placement, running, "b0")
    assert jobs_of(placement.place(0.1, view)) == ["other"]

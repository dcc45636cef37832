"""Claims under lost confirmations, outages, truncation, pauses and killed hosts."""

import pytest

from poplarhill import ErrorKind
from poplarhill.exceptions import Failure

WINDOW_S = 100.0
LEASE_S = WINDOW_S / 10
NOT_RUN = Failure(ErrorKind.EXPIRED, "expired in the queue")
MAY_HAVE_RUN = Failure(ErrorKind.WORKER_LOST, "lost")


def test_a_claim_is_won_by_an_append_and_a_read(start, log) -> None:
    host = start()
    host.submit("a")
    requests = []
    while host.pending:
        requests.append(type(host.pending[0]).__name__)
        host.step()
    assert host.send("a")
    assert requests == ["AppendClaims", "ReadClaims"]


def test_several_claims_go_into_one_record(start, log) -> None:
    host = start()
    for number in range(20):
        host.submit(f"j{number}", f"k{number}")
    host.settle()
    assert len(host.won) == 20
    assert len(log.records) == 2


@pytest.mark.parametrize("append", ["ok", "lost answer"])
@pytest.mark.parametrize("first", ["h1", "h2"])
def test_the_lowest_offset_wins_when_two_hosts_race(start, append, first) -> None:
    hosts = {"h1": start("h1"), "h2": start("h2")}
    for host in hosts.values():
        host.submit("a")
    hosts[first].step(append)
    for host in hosts.values():
        host.settle(append)
    [other] = hosts.keys() - {first}
    assert hosts[first].send("a")
    assert hosts[other].kind("a") == "duplicate"


def test_a_lost_append_is_retried(start, log) -> None:
    host = start()
    host.submit("a")
    host.step("lost")
    host.settle("ok")
    assert host.send("a")
    assert len(log.records) == 1


def test_an_unconfirmed_claim_is_refused_and_then_released(start, log) -> None:
    host, other = start("h1"), start("h2")
    host.submit("a")
    while host.kind("a") is None:
        host.step("late")
    assert host.kind("a") == "claim_unavailable"
    for body in log.late:
        log.append(body)
    other.submit("b")
    other.settle()
    assert other.kind("b") == "duplicate"
    log.now += 2.0
    host.tick()
    other.tick()
    other.submit("c")
    other.settle()
    assert other.send("c")


def test_a_late_copy_of_a_released_claim_is_void(start, log) -> None:
    host, other = start("h1"), start("h2")
    host.submit("a")
    while host.kind("a") is None:
        host.step("late")
    log.now += 2.0
    host.tick()
    for body in log.late:
        log.append(body)
    other.submit("b")
    other.settle()
    assert other.send("b")


def test_the_claim_of_a_killed_host_holds_its_key_for_the_window(start, log) -> None:
    owner, other = start("h1", 1), start("h2")
    owner.submit("a")
    owner.settle()
    assert owner.won
    successor = start("h1", 2)
    for host in (other, successor):
        host.submit("b")
        host.settle()
        assert host.kind("b") == "duplicate"
    log.now += WINDOW_S
    other.tick()
    other.submit("c")
    other.settle()
    assert other.send("c")


def test_a_host_paused_past_its_lease_sends_nothing(start, log) -> None:
    host = start()
    host.submit("won")
    host.settle()
    log.now += 1.0
    host.submit("appended", "k2")
    host.step()
    log.now += LEASE_S
    assert not host.send("won")
    host.settle()
    assert host.kind("appended") == "claim_unavailable"


def test_claims_are_refused_at_once_while_the_log_is_down(start, log) -> None:
    host = start()
    log.down = True
    host.submit("in flight")
    host.settle()
    assert host.kind("in flight") == "claim_unavailable"
    for minute in range(60):
        log.now += 60.0
        host.tick()
        host.submit(f"m{minute}")
        assert host.kind(f"m{minute}") == "claim_unavailable"
        assert host.outcomes[f"m{minute}"].retry_after_s > 0
    log.down = False
    log.now += 2.0
    host.tick()
    host.submit("after")
    host.settle()
    assert host.send("after")


@pytest.mark.parametrize("known", [True, False], ids=["reader", "new host"])
def test_truncation_stops_claims_only_on_a_host_that_missed_records(
    start, log, known
) -> None:
    host = start() if known else None
    first = start("h2")
    first.submit("a")
    first.settle()
    if known:
        host.tick()
        log.now += 2.0
        host.tick()
    log.now += 1.0
    log.truncate()
    if not known:
        host = start("h3")
    host.submit("b")
    host.settle()
    expected = "duplicate" if known else "claim_unavailable"
    assert host.kind("b") == expected
    host.submit("c", "other key")
    host.settle()
    if known:
        assert host.send("c")
        return
    refusal = host.outcomes["c"]
    assert refusal.kind is ErrorKind.CLAIM_UNAVAILABLE
    assert refusal.retry_after_s == pytest.approx(WINDOW_S, abs=5.0)
    log.now += refusal.retry_after_s + 1.0
    host.tick()
    host.submit("d", "other key")
    host.settle()
    assert host.send("d")


def test_claims_are_refused_after_the_log_lost_its_records(start, log) -> None:
    host = start()
    host.submit("a")
    host.settle()
    log.records.clear()
    log.now += 2.0
    host.tick()
    host.submit("b", "k2")
    host.settle()
    assert host.kind("b") == "claim_unavailable"


@pytest.mark.parametrize("host_again", ["h1", "h2"])
def test_a_job_that_did_not_run_releases_its_key(start, host_again) -> None:
    hosts = {"h1": start("h1"), "h2": start("h2")}
    hosts["h1"].submit("a")
    hosts["h1"].settle()
    hosts["h1"].end("a", NOT_RUN)
    hosts["h1"].settle()
    hosts[host_again].submit("b")
    hosts[host_again].settle()
    assert hosts[host_again].send("b")


def test_a_key_can_be_claimed_again_while_its_release_is_pending(start) -> None:
    host = start()
    host.submit("a")
    host.settle()
    host.end("a", NOT_RUN)
    host.submit("b")
    host.settle()
    assert host.send("b")


def test_a_job_that_may_have_run_keeps_its_key(start) -> None:
    host, other = start("h1"), start("h2")
    host.submit("a")
    host.settle()
    assert host.send("a")
    host.end("a", MAY_HAVE_RUN)
    host.settle()
    other.submit("b")
    other.settle()
    assert other.kind("b") == "duplicate"


@pytest.mark.parametrize("outcome", ["complete", NOT_RUN])
def test_a_second_submission_at_the_same_host_joins_the_first(start, outcome) -> None:
    host = start()
    host.submit("a")
    host.submit("b")
    host.settle()
    host.submit("c")
    assert list(host.won) == ["a"]
    if outcome == "complete":
        host.complete("a")
    else:
        host.end("a", outcome)
    assert host.outcomes["a"] == host.outcomes["b"] == host.outcomes["c"]


def test_a_cached_outcome_is_reused_for_a_limited_time(start, log) -> None:
    host = start()
    host.submit("a")
    host.settle()
    host.complete("a")
    host.submit("b")
    assert host.kind("b") == "complete"
    log.now += 61.0
    host.submit("c")
    assert host.kind("c") == "duplicate"


def test_a_key_used_with_other_tasks_is_refused(start) -> None:
    host = start()
    host.submit("a", body=b"one")
    host.submit("b", body=b"other")
    host.settle()
    host.complete("a")
    host.submit("c", body=b"other")
    assert (host.kind("b"), host.kind("c")) == ("bad_request", "bad_request")


def test_appends_stay_within_the_rate_limit(start, log) -> None:
    host = start()
    begin = log.now
    for number in range(200):
        host.submit(f"j{number}", f"k{number}")
        host.settle()
    limit_per_s = 200.0 / 2  # the limit of all hosts, divided by their number
    assert len(log.records) / (log.now - begin) <= limit_per_s * 1.1


def test_an_unreadable_record_is_ignored(start, log) -> None:
    host = start()
    log.append("gibberish")
    log.append('{"host":1}')
    host.submit("a")
    host.settle()
    assert host.send("a")


@pytest.mark.parametrize("log_is", ["up", "down", "truncated"])
def test_a_claim_waits_for_the_first_read_of_the_log(new_host, log, log_is) -> None:
    log.append("older")
    if log_is == "truncated":
        log.truncate()
    log.down = log_is == "down"
    host = new_host(log, "h1", 1)
    host.submit("a")
    assert host.kind("a") is None
    host.settle()
    if log_is == "up":
        assert host.send("a")
    else:
        assert host.kind("a") == "claim_unavailable"

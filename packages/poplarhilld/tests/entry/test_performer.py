"""What the performer of actions sends to other hosts, and what it handles here."""

from types import SimpleNamespace

import curio
import pytest

from poplarhill.types import Address
from poplarhill_dev.leased import simulated_job, worker_entry
from poplarhilld.entry import EntrySettings, worker_calls
from poplarhilld.entry.clock import uptime
from poplarhilld.entry.metrics import EntryMetrics
from poplarhilld.entry.performer import Performer
from poplarhilld.entry.state import HostState
from poplarhilld.leading import RenewLease, ReportJob, SendClock, StartRun
from poplarhilld.leading.messages import JobTaken, OfferIgnored, Order
from poplarhilld.leases import OrderOutcome, OrderReply, Renewal, Run
from poplarhilld.peers.messages import Beat, JobEnded, JobProgress, OfferedJob
from poplarhilld.submissions import OfferToLeader

ANY = Address("127.0.0.1", 0)
PEER = Address("127.0.0.1", 1)


# Guards against one write for each message of a host: a leader reported the last task
# and the end of a job in two writes, and woke the host of the caller twice.
def test_messages_to_one_host_are_sent_together_in_order(monkeypatch) -> None:
    sent = []

    async def send(address: Address, *messages: object) -> None:
        sent.append((address, messages))

    async def main() -> None:
        settings = EntrySettings("h1", "dc1", ANY, ANY, ANY, ANY, ANY)
        state = HostState(settings, uptime())
        performer = Performer(state, None, EntryMetrics())
        monkeypatch.setattr(performer.peers, "send", send)
        beat = Beat(*PEER, "dc1", 1, 1.0, True)
        state.hosts.heartbeat_received(uptime(), "h2", beat)
        progress, ended = JobProgress("j1", (0,)), JobEnded("j1")
        actions = [
            ReportJob("h2", progress),
            ReportJob("h1", progress),  # handled here
            ReportJob("unknown", progress),
            ReportJob("h2", ended),
        ]
        await performer.perform(actions)
        assert sent == [(PEER, (progress, ended))]
        await performer.perform([OfferToLeader("unknown", None)])
        assert len(sent) == 1

    curio.run(main)


# Guards against a result that is lost with its leader: a renewal that acknowledged the
# end of a run was sent before the report on its job.
def test_reports_are_sent_before_the_renewal_that_acknowledges_their_ends(
    monkeypatch,
) -> None:
    sent = []

    async def send(address: Address, *messages: object) -> None:
        sent.extend(messages)

    async def renew(worker, renewal, on_reply) -> None:
        sent.append(renewal)

    async def main() -> None:
        settings = EntrySettings("h1", "dc1", ANY, ANY, ANY, ANY, ANY)
        client = SimpleNamespace(renew=renew)
        performer = Performer(HostState(settings, uptime()), client, EntryMetrics())
        monkeypatch.setattr(performer.peers, "send", send)
        beat = Beat(*PEER, "dc1", 1, 1.0, True)
        performer._state.hosts.heartbeat_received(uptime(), "h2", beat)
        renewal = Renewal(1, 7, None, 0.4, 0.0)
        report = JobProgress("j1", (0,))
        renew_lease = RenewLease(worker_entry("w1"), renewal)
        await performer.perform([renew_lease, ReportJob("h2", report)])
        assert sent == [report, renewal]

    curio.run(main)


# Guards against an order that may have been carried out and leaves no line, and against
# a line for each of the many orders that are accepted at once.
@pytest.mark.parametrize(
    ("outcome", "reply_s", "logged"),
    [("accepted", 0.0, []), ("accepted", 0.2, [1]), ("unknown", 0.0, [1])],
)
def test_orders_not_accepted_at_once_are_logged(
    monkeypatch, outcome, reply_s, logged
) -> None:
    lines = []

    async def start(worker, order, on_reply) -> None:
        await curio.sleep(reply_s)
        await on_reply(OrderReply(OrderOutcome(outcome)))

    async def main() -> None:
        settings = EntrySettings("h1", "dc1", ANY, ANY, ANY, ANY, ANY)
        client = SimpleNamespace(start=start)
        performer = Performer(HostState(settings, uptime()), client, EntryMetrics())
        order = Order(Run("a.0.0.0", 1), "", 1.0, 1)
        await performer.perform([StartRun(worker_entry("w1"), order)])

    log = SimpleNamespace(info=lambda event, **fields: lines.append((event, fields)))
    monkeypatch.setattr(worker_calls, "_log", log)
    curio.run(main)
    assert [fields["run"] for _, fields in lines] == logged
    for event, fields in lines:
        assert (event, fields["outcome"]) == ("OrderReplied", outcome)
        assert fields["took_s"] >= reply_s


# Guards against two runs of one task: a leader that resumed after a pause took the old
# first offer of a host for a new one, though another leader had the job by then.
@pytest.mark.parametrize(
    ("clock_age_s", "taken"), [(2.6, False), (0.002, True), (None, False)]
)
def test_the_first_offer_of_a_host_counts_by_the_clock_of_the_leader(
    clock_age_s, taken
) -> None:
    settings = EntrySettings("h1", "dc1", ANY, ANY, ANY, ANY, ANY)
    now = uptime()
    state = HostState(settings, now - 1.0)
    for number in range(20):
        at = now - 1.0 + 0.05 * number
        state.hosts.tick(at, at, {"dc1/0": 4}, True, state.load(at), 1, {})
    assert state.hosts.claims

    async def main() -> None:
        performer = Performer(state, None, EntryMetrics())
        clock_s = None if clock_age_s is None else now - clock_age_s
        offer = simulated_job("a").offer
        offered = OfferedJob(1, offer, sent_at_s=77.0, leader_clock_s=clock_s)
        actions = performer.handle_message("h2", offered)
        lines = [type(getattr(action, "decision", action)) for action in actions]
        assert (JobTaken in lines) == taken
        assert (lines == [OfferIgnored, SendClock]) == (not taken)

    curio.run(main)

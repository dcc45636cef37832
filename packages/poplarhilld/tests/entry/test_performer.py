"""What the performer of actions sends to other hosts, and what it handles here."""

import curio

from poplarhill.types import Address
from poplarhilld.entry import EntrySettings
from poplarhilld.entry.clock import uptime
from poplarhilld.entry.metrics import EntryMetrics
from poplarhilld.entry.performer import Performer
from poplarhilld.entry.state import HostState
from poplarhilld.leading import ReportJob
from poplarhilld.peers.messages import Beat, JobEnded, JobProgress
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

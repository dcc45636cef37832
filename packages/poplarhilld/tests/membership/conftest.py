"""A simulated network between membership states that can lose or delay frames."""

import heapq
from collections.abc import Callable
from random import Random

import pytest

from poplarhill.types import Address
from poplarhilld.membership import HeartbeatDue, MemberRemoved, Membership
from poplarhilld.peers import MemberState

STEP_S = 0.1


class SimulatedNetwork:
    """Membership states that exchange frames only through this simulated network.

    It can lose, duplicate and delay frames, and partition hosts from each other.

    Args:
        hosts: Count of hosts; `h0` and `h1` are everyone's seeds.
        seed: Seed of every random choice.
    """

    def __init__(self, hosts: int, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_s = 0.01
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.paused: set[str] = set()
        self.states: dict[str, Membership] = {}
        self.removed: list[tuple[float, str, MemberRemoved]] = []
        self.frames_sent = 0
        self._in_flight: list = []
        for number in range(hosts):
            self.start(f"h{number}", incarnation=1)

    def start(self, name: str, incarnation: int, port: int = 1) -> None:
        """Start a host or replace it."""
        me = MemberState(name, "127.0.0.1", port, "dc1", incarnation, 0, False)
        seeds = {n: Address("127.0.0.1", 1) for n in ("h0", "h1") if n != name}
        self.states[name] = Membership(me, seeds, Random(self.random.random()))

    def run(self, seconds: float) -> None:
        """Advance the time."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self._deliver()
            for name, state in list(self.states.items()):
                if name not in self.paused:
                    self._perform(name, state.tick(self.now))

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Run until a condition holds and return how long it took, s."""
        begin = self.now
        while not condition():
            assert self.now - begin < limit_s, self.views()
            self.run(STEP_S)
        return self.now - begin

    def views(self) -> dict[str, tuple[str, ...]]:
        """Return the live hosts in the view of each running host."""
        return {
            name: state.live
            for name, state in self.states.items()
            if name not in self.paused
        }

    def all_see(self, *names: str) -> bool:
        """Return whether every running host sees exactly these hosts as live."""
        return all(view == tuple(sorted(names)) for view in self.views().values())

    def _perform(self, name: str, decisions: list) -> None:
        for decision in decisions:
            match decision:
                case HeartbeatDue():
                    self._send(name, decision)
                case MemberRemoved():
                    self.removed.append((self.now, name, decision))

    def _send(self, sender: str, due: HeartbeatDue) -> None:
        self.frames_sent += 1
        if self.cut(sender, due.peer) or self.random.random() < self.loss:
            return
        for _ in range(2 if self.random.random() < self.duplication else 1):
            at = self.now + self.random.uniform(0, self.delay_s)
            item = (at, self.random.random(), sender, due)
            heapq.heappush(self._in_flight, item)

    def _deliver(self) -> None:
        held = []
        while self._in_flight and self._in_flight[0][0] <= self.now:
            item = heapq.heappop(self._in_flight)
            _, _, sender, due = item
            if due.peer in self.paused:
                held.append(item)
            elif (state := self.states.get(due.peer)) is not None:
                decisions = state.heartbeat_received(self.now, sender, due.members)
                self._perform(due.peer, decisions)
        for item in held:
            heapq.heappush(self._in_flight, item)


@pytest.fixture
def make_network() -> Callable[..., SimulatedNetwork]:
    return SimulatedNetwork

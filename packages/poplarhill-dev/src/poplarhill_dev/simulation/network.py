"""Simulated connections: which paths are cut, and the links between hosts."""

from collections import deque
from collections.abc import Callable
from enum import Enum, auto
from random import Random
from typing import Protocol

from poplarhill.types import Address
from poplarhill_dev.leased import LINK_DELAY_S
from poplarhilld.peers.link import QUEUE_FRAMES

_CONNECT_TIMEOUT_S = 0.5
_UNACKNOWLEDGED_TIMEOUT_S = 0.6
_FIRST_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.5


class PortState(Enum):
    """What becomes of a connection to a host.

    Attributes:
        OPEN: It is accepted, by the kernel also for a host that is frozen.
        REFUSED: No process listens there.
        SILENT: The machine has no power.
    """

    OPEN = auto()
    REFUSED = auto()
    SILENT = auto()


class Clock(Protocol):
    """The simulated time and its events."""

    now: float
    random: Random

    def schedule(self, delay_s: float, call: Callable, *args: object) -> None:
        """Call a function after a delay, s."""


class Network:
    """Paths between hosts and workers.

    Attributes:
        cuts: Ordered pairs of names between which nothing passes.
        late_share: Share of the messages between hosts that a link delays.
        late_s: Longest delay of such a message, s.
    """

    def __init__(self) -> None:
        self.cuts: set[tuple[str, str]] = set()
        self.late_share = 0.0
        self.late_s = 0.3

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether nothing passes from one machine to another."""
        return bool(self.cuts) and (sender, receiver) in self.cuts


class Link:
    """The frames of one host to another: ordered, and lost with the connection.

    Args:
        clock: The simulated time.
        network: Paths between the machines.
        sender: Name of the sending host.
        address: Address of the receiver.
        receiver: Name of the receiver.
        port: Returns the state of the receiver's port.
        deliver: Called with the sender and the messages that arrive.
        on_refused: Called with the address if a connection is refused.
    """

    def __init__(
        self,
        clock: Clock,
        network: Network,
        sender: str,
        address: Address,
        receiver: str,
        port: Callable[[str], PortState],
        deliver: Callable[[str, str, tuple], None],
        on_refused: Callable[[Address], None],
    ) -> None:
        self._clock = clock
        self._network = network
        self._sender, self._receiver = sender, receiver
        self._address = address
        self._port = port
        self._deliver = deliver
        self._on_refused = on_refused
        self._frames: deque = deque(maxlen=QUEUE_FRAMES)
        self._connected = False
        self._ready_at = 0.0
        self._stalled_since: float | None = None
        self._generation = 0
        self._last_arrival = 0.0
        self._backoff_s = _FIRST_BACKOFF_S

    def send(self, messages: list) -> None:
        """Send messages, or queue them while the connection is not open."""
        self._frames.extend(messages)
        self.flush()

    def reset(self) -> None:
        """Break the connection; frames that are queued or on the way are lost."""
        self._generation += 1
        self._connected = False
        self._stalled_since = None
        self._frames.clear()

    def reconnect(self) -> None:
        """Give up a connection that is still being opened."""
        if not self._connected:
            self.reset()
            self._ready_at = 0.0

    def flush(self) -> None:
        """Send the queued frames if the connection and the path allow it."""
        clock = self._clock
        if not self._frames or clock.now < self._ready_at:
            return
        out = self._network.is_cut(self._sender, self._receiver)
        port = self._port(self._receiver)
        if not self._connected:
            back = self._network.is_cut(self._receiver, self._sender)
            if out or back or port is PortState.SILENT:
                self._fail_after(_CONNECT_TIMEOUT_S)
                return
            if port is PortState.REFUSED:
                self._fail_after(0.0)
                clock.schedule(2 * LINK_DELAY_S, self._on_refused, self._address)
                return
            self._connected = True
            self._backoff_s = _FIRST_BACKOFF_S
        if out or port is not PortState.OPEN:
            self._stall()
            return
        self._stalled_since = None
        delay_s = LINK_DELAY_S
        if self._network.late_share and (
            clock.random.random() < self._network.late_share
        ):
            delay_s += clock.random.uniform(0.0, self._network.late_s)
        self._last_arrival = max(self._last_arrival, clock.now + delay_s)
        messages = tuple(self._frames)
        self._frames.clear()
        clock.schedule(
            self._last_arrival - clock.now, self._arrive, self._generation, messages
        )

    def _arrive(self, generation: int, messages: tuple) -> None:
        if generation == self._generation:
            self._deliver(self._sender, self._receiver, messages)

    def _stall(self) -> None:
        """Keep the frames until the path is back or the connection times out."""
        if self._stalled_since is None:
            self._stalled_since = self._clock.now
            self._retry_stalled(self._generation)

    def _retry_stalled(self, generation: int) -> None:
        if generation != self._generation or self._stalled_since is None:
            return
        if self._clock.now - self._stalled_since > _UNACKNOWLEDGED_TIMEOUT_S:
            self.reset()
            return
        self._clock.schedule(0.05, self._retry_stalled, generation)
        self.flush()

    def _fail_after(self, delay_s: float) -> None:
        self._ready_at = self._clock.now + delay_s + self._backoff_s
        self._backoff_s = min(2 * self._backoff_s, _MAX_BACKOFF_S)
        if delay_s:
            self._clock.schedule(delay_s, self._frames.clear)
        else:
            self._frames.clear()
        self._clock.schedule(self._ready_at - self._clock.now, self.flush)

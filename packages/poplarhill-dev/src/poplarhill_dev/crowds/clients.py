"""Plain TCP clients that each follow a script, on one thread."""

import selectors
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from types import TracebackType

from poplarhill.types import Address
from poplarhill_dev.loopback import FleetError

Script = Callable[[int], Iterable[bytes]]

_READ_BYTES = 65536
_POLL_INTERVAL_S = 0.05
_TIMEOUT_S = 90.0


class _Client:
    """One connection and what is left of its script."""

    def __init__(self, number: int, address: Address, data: Iterator[bytes]) -> None:
        self.number = number
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(address)
        self.received = b""
        self._data = data
        self._unsent = memoryview(b"")

    def send(self) -> bool:
        """Send what the socket accepts; return whether the script goes on."""
        try:
            while True:
                if not self._unsent:
                    following = next(self._data, None)
                    if following is None:
                        return False
                    self._unsent = memoryview(following)
                self._unsent = self._unsent[self.sock.send(self._unsent) :]
        except BlockingIOError:
            return True
        except OSError:
            return False

    def read(self) -> bool:
        """Read what has arrived; return whether the server may send more."""
        try:
            data = self.sock.recv(_READ_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.received = (self.received + data)[:_READ_BYTES]
        return bool(data)


class Crowd:
    """Clients that connect at once and send what their scripts yield.

    A client whose script has ended keeps its connection open until the crowd is
    closed. The connections are served by a thread from `start` on.

    Args:
        address: Address that the clients connect to.
        count: Number of clients.
        script: Returns what the client with a number sends.
        reads: Whether the clients read what the server sends.
        returns: Whether a client whose connection is closed connects again and follows
            its script anew; it has to read.
    """

    def __init__(
        self,
        address: Address,
        count: int,
        script: Script,
        reads: bool = True,
        returns: bool = False,
    ) -> None:
        self._address = address
        self._script = script
        self._returns = returns
        self._selector = selectors.DefaultSelector()
        self._reads = reads
        self._stopping = threading.Event()
        self._sent = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._sending = 0
        self._clients = [self._connect(number) for number in range(count)]

    @property
    def answers(self) -> list[bytes]:
        """What each client has received, up to 64 KiB."""
        return [client.received for client in self._clients]

    def start(self) -> None:
        """Begin to send, without waiting."""
        for client in self._clients:
            self._register(client)
        self._thread.start()

    def wait_sent(self) -> None:
        """Wait until each script has ended or its connection was closed.

        Raises:
            FleetError: The server neither reads nor closes the connections.
        """
        if not self._sent.wait(_TIMEOUT_S):
            raise FleetError(f"{self._sending} clients could not send their data")

    def close(self) -> None:
        """Stop sending and close all connections."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        for client in self._clients:
            client.sock.close()
        self._selector.close()

    def __enter__(self) -> "Crowd":
        self.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def _connect(self, number: int) -> _Client:
        return _Client(number, self._address, iter(self._script(number)))

    def _register(self, client: _Client) -> None:
        events = selectors.EVENT_WRITE
        if self._reads:
            events |= selectors.EVENT_READ
        self._selector.register(client.sock, events, client)
        self._sending += 1

    def _run(self) -> None:
        stop_at = time.monotonic() + 2 * _TIMEOUT_S
        while not self._stopping.is_set() and time.monotonic() < stop_at:
            if not self._sending:
                self._sent.set()
            if not self._selector.get_map():
                return
            for key, events in self._selector.select(_POLL_INTERVAL_S):
                self._serve(key.data, events)

    def _serve(self, client: _Client, events: int) -> None:
        key = self._selector.get_key(client.sock)
        watched = key.events
        if events & selectors.EVENT_READ and not client.read():
            self._sending -= bool(watched & selectors.EVENT_WRITE)
            self._selector.unregister(client.sock)
            if self._returns:
                client.sock.close()
                self._clients[client.number] = self._connect(client.number)
                self._register(self._clients[client.number])
            return
        if events & selectors.EVENT_WRITE and not client.send():
            self._sending -= 1
            watched &= ~selectors.EVENT_WRITE
            if watched:
                self._selector.modify(client.sock, watched, client)
            else:
                self._selector.unregister(client.sock)

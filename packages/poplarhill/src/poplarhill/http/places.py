"""Chooses which connection is closed when a server has as many as it may have."""

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

# Time that a client has to send its first request before others may take its place.
_FIRST_REQUEST_S = 1.0
_Connection = TypeVar("_Connection", bound=Hashable)


class Places(Generic[_Connection]):
    """The connections that wait for their clients, the first to be closed in front.

    A connection whose request is being handled is never chosen. Those that have had no
    request answered go before those that have; of each, the one that has been silent
    for the longest time goes first.
    """

    def __init__(self) -> None:
        # In the order of their last progress, which is the value.
        self._unanswered: dict[_Connection, float] = {}
        self._answered: dict[_Connection, float] = {}

    def add(self, connection: _Connection, now: float) -> None:
        """Add a connection that was accepted now."""
        self._unanswered[connection] = now

    def note_progress(self, connection: _Connection, now: float) -> None:
        """Note that the client has sent a considerable part of a request."""
        for connections in (self._unanswered, self._answered):
            if connections.pop(connection, None) is not None:
                connections[connection] = now

    def hold(self, connection: _Connection) -> None:
        """Keep a connection whose request is handled from now on."""
        self.remove(connection)

    def release(self, connection: _Connection, now: float) -> None:
        """Note that the request of a connection has its answer."""
        self._answered[connection] = now

    def remove(self, connection: _Connection) -> None:
        """Remove a connection, if it is known."""
        self._unanswered.pop(connection, None)
        self._answered.pop(connection, None)

    def candidates(self, now: float) -> Iterator[_Connection]:
        """Yield the connections in the order in which they are to be closed."""
        for connection, since in self._unanswered.items():
            if now - since >= _FIRST_REQUEST_S:
                yield connection
        yield from self._answered
        for connection, since in self._unanswered.items():
            if now - since < _FIRST_REQUEST_S:
                yield connection

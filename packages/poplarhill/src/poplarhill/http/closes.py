"""Notices when callers close their connections while requests are handled."""

import select
from collections.abc import Awaitable, Callable

import curio.traps


class CloseWatcher:
    """Reports the connections that the other end has closed or half closed.

    One epoll instance watches all connections, so that a request needs no task of its
    own to read from its connection. Data that arrives is left in the socket.

    Args:
        on_close: Called once for each connection that was closed, with its file
            descriptor.
    """

    def __init__(self, on_close: Callable[[int], Awaitable[None]]) -> None:
        self._on_close = on_close
        self._epoll = select.epoll()

    def add(self, descriptor: int) -> None:
        """Watch a connection."""
        self._epoll.register(descriptor, select.EPOLLRDHUP | select.EPOLLET)

    def remove(self, descriptor: int) -> None:
        """Stop watching a connection, before its descriptor is closed."""
        self._epoll.unregister(descriptor)

    async def run(self) -> None:
        """Report closed connections until cancelled."""
        try:
            while True:
                await curio.traps._read_wait(self._epoll)
                for descriptor, _ in self._epoll.poll(0):
                    await self._on_close(descriptor)
        finally:
            await curio.traps._io_release(self._epoll)

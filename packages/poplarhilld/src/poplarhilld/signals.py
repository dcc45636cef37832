"""Waits for signals on the curio loop."""

import signal
import socket

import curio


class SignalWaiter:
    """Lets a coroutine wait for the first of several signals.

    It must be created on the main thread, before the loop waits.

    Args:
        signals: The signals to wait for.
    """

    def __init__(self, *signals: signal.Signals) -> None:
        read_socket, write_socket = socket.socketpair()
        write_socket.setblocking(False)
        self._read_socket = curio.io.Socket(read_socket)
        self._write_socket = write_socket
        signal.set_wakeup_fd(write_socket.fileno())
        for number in signals:
            signal.signal(number, _ignore)

    async def wait(self) -> signal.Signals:
        """Wait for a signal and return it."""
        return signal.Signals((await self._read_socket.recv(1))[0])


def _ignore(number: int, frame: object) -> None:
    """Ignore the signal, so that the default action does not end the process."""

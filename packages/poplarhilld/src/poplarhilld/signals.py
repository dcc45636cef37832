"""Waiting for a signal on the curio loop."""

import signal
import socket

import curio


class SignalWaiter:
    """Wakes a coroutine when one of some signals comes.

    Must be made on the main thread, before the loop waits.

    Args:
        signals: The signals to wait for.
    """

    def __init__(self, *signals: signal.Signals) -> None:
        reading, writing = socket.socketpair()
        writing.setblocking(False)
        self._reading = curio.io.Socket(reading)
        self._writing = writing
        signal.set_wakeup_fd(writing.fileno())
        for number in signals:
            signal.signal(number, _ignore)

    async def wait(self) -> signal.Signals:
        """Return a signal when it has come."""
        return signal.Signals((await self._reading.recv(1))[0])


def _ignore(number: int, frame: object) -> None:
    """Keep the default action from ending the process."""

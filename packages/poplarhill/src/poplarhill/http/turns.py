"""Bounds the work for clients in one cycle of the event loop."""

import curio

_FIRST_READS_PER_CYCLE = 16
_FURTHER_READS_PER_CYCLE = 2


class Turns:
    """Lets few connections read or parse in one cycle, whatever their number.

    curio runs all tasks that are ready before it looks at timers and sockets again, and
    returns from `recv` without a switch of tasks while data is there. Heartbeats and
    renewals of leases would wait for all of it. A usual request arrives at once and
    takes part of the first reads only.
    """

    def __init__(self) -> None:
        self._first = curio.Semaphore(_FIRST_READS_PER_CYCLE)
        self._further = curio.Semaphore(_FURTHER_READS_PER_CYCLE)
        self._begun = 0

    async def begin(self) -> None:
        """Wait until a request that has begun to arrive may be parsed."""
        self._begun += 1
        if self._begun <= _FIRST_READS_PER_CYCLE:
            return  # nothing else is due: without a switch of tasks
        async with self._first:
            await curio.sleep(0)
            self._begun = 0

    async def next(self) -> None:
        """Wait until a connection that has more to read or parse may go on."""
        async with self._further:
            await curio.sleep(0)

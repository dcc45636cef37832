"""Runs the loops of a process and detects when one of them ends."""

from collections.abc import Awaitable, Callable

import curio
import structlog

Loop = Callable[[], Awaitable[None]]
_log = structlog.get_logger()


class Supervisor:
    """Loops that run until the process stops."""

    def __init__(self) -> None:
        self._tasks: list[curio.Task] = []
        self._failed = curio.Event()

    @property
    def failed(self) -> bool:
        """Whether a loop has ended without being cancelled."""
        return self._failed.is_set()

    async def start(self, *loops: Loop) -> None:
        """Start the given loops."""
        for loop in loops:
            self._tasks.append(await curio.spawn(self._run, loop, daemon=True))

    async def wait_failed(self) -> None:
        """Wait until a loop has ended without being cancelled."""
        await self._failed.wait()

    async def cancel(self) -> None:
        """Cancel every loop."""
        for task in self._tasks:
            await task.cancel()

    async def _run(self, loop: Loop) -> None:
        try:
            await loop()
        except Exception:
            _log.exception("loop failed", loop=loop.__qualname__)
        else:
            _log.error("loop ended", loop=loop.__qualname__)
        await self._failed.set()

"""Input and output of the configuration slice: reads and appends of the log."""

from collections.abc import Awaitable, Callable

import curio
import structlog

from poplarhill.configuration import CONFIG_STREAM
from poplarhill.platform import Appended, Platform
from poplarhilld.configuration.messages import AppendRecord, LogRead, ReadLog

_log = structlog.get_logger()


class ConfigurationReader:
    """Reads the stream as asked and reports each answer.

    Args:
        platform: The platform.
        post: Called with each answer.
        clock: Returns the host's own time, s.
    """

    def __init__(
        self,
        platform: Platform,
        post: Callable[[LogRead], Awaitable[None]],
        clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._post = post
        self._clock = clock
        self._hurry = curio.Event()
        self._reads: curio.Queue = curio.Queue()

    async def run(self) -> None:
        """Read, one read at a time, until cancelled."""
        while True:
            action: ReadLog = await self._reads.get()
            await curio.ignore_after(action.delay_s, self._hurry.wait)
            self._hurry.clear()
            asked_at = self._clock()
            result = await self._platform.read(
                CONFIG_STREAM, action.offset, action.limit
            )
            await self._post(LogRead(action.offset, result, asked_at))

    async def skip_delay(self) -> None:
        """Begin the next read at once."""
        await self._hurry.set()

    async def perform(self, action: ReadLog | AppendRecord) -> None:
        """Carry out an action without waiting for its end."""
        match action:
            case ReadLog():
                await self._reads.put(action)
            case AppendRecord(body):
                await curio.spawn(self._append, body, daemon=True)

    async def _append(self, body: str) -> None:
        result = await self._platform.append(CONFIG_STREAM, body)
        if not isinstance(result, Appended):
            _log.warning("configuration record not written", reason=str(result))

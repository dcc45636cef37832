"""Input and output of the configuration slice: reads of and appends to the log."""

from collections.abc import Awaitable, Callable

import curio
import structlog

from poplarhill.configuration import CONFIG_STREAM
from poplarhill.platform import Appended, Platform
from poplarhilld.configuration.messages import AppendRecord, LogRead, ReadLog

_log = structlog.get_logger()


class ConfigurationReader:
    """Carries out reads of and appends to the configuration stream.

    Args:
        platform: The platform.
        post: Called with the result of each read.
        clock: Returns the time by the host's clock, s.
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
        self._delay_skipped = curio.Event()
        self._reads: curio.Queue = curio.Queue()

    async def run(self) -> None:
        """Carry out the requested reads, one at a time, until cancelled."""
        while True:
            action: ReadLog = await self._reads.get()
            await curio.ignore_after(action.delay_s, self._delay_skipped.wait)
            self._delay_skipped.clear()
            asked_at = self._clock()
            result = await self._platform.read(
                CONFIG_STREAM, action.offset, action.limit
            )
            await self._post(LogRead(action.offset, result, asked_at))

    async def skip_delay(self) -> None:
        """Start the next read without waiting for its delay to pass."""
        await self._delay_skipped.set()

    async def perform(self, action: ReadLog | AppendRecord) -> None:
        """Queue a read, or append a record in the background."""
        match action:
            case ReadLog():
                await self._reads.put(action)
            case AppendRecord(body):
                await curio.spawn(self._append, body, daemon=True)

    async def _append(self, body: str) -> None:
        result = await self._platform.append(CONFIG_STREAM, body)
        if not isinstance(result, Appended):
            _log.warning("configuration record not written", reason=str(result))

"""Reads the configuration stream and reports each newer configuration."""

from collections.abc import Awaitable, Callable

import curio
import structlog

from poplarhill.configuration import Fold, Rejection
from poplarhill.platform import Batch, Platform
from poplarhilld.dispatch.events import ConfigurationChanged

CONFIG_STREAM = "configuration"
_READ_LIMIT = 500
_POLL_S = 1.0
_log = structlog.get_logger()


class ConfigurationReader:
    """Polls the log for changes.

    Args:
        platform: The platform.
        post: Called with each newer configuration.
    """

    def __init__(
        self,
        platform: Platform,
        post: Callable[[ConfigurationChanged], Awaitable[None]],
    ) -> None:
        self._platform = platform
        self._post = post
        self._fold = Fold()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self._poll()
            await curio.sleep(_POLL_S)

    async def _poll(self) -> None:
        offset = self._fold.next_offset
        result = await self._platform.read(CONFIG_STREAM, offset, _READ_LIMIT)
        if not isinstance(result, Batch):
            _log.warning("configuration not read", reason=str(result))
            return
        version = self._fold.configuration.version
        for record in result.records:
            outcome = self._fold.apply(record)
            if isinstance(outcome, Rejection):
                _log.info("change rejected", **outcome._asdict())
        configuration = self._fold.configuration
        if configuration.version > version:
            _log.info("configuration in force", version=configuration.version)
            await self._post(ConfigurationChanged(configuration))

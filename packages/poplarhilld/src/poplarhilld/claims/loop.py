"""Input and output of the claims slice: appends to and reads of its stream."""

from collections.abc import Awaitable, Callable

import curio
import structlog

from poplarhill.platform import (
    AppendResult,
    AppendUnknown,
    Platform,
    ReadResult,
    Unavailable,
)
from poplarhilld.claims.messages import (
    AppendClaims,
    ClaimRequest,
    ClaimsAppendDue,
    ClaimsAppended,
    ClaimsRead,
    ReadClaims,
    ScheduleClaimsAppend,
)

CLAIMS_STREAM = "claims"
_READ_LIMIT = 500
_log = structlog.get_logger()

ClaimEvent = ClaimsAppended | ClaimsRead | ClaimsAppendDue


class ClaimLoop:
    """Carries out the requests of the claims slice and reports their results.

    Args:
        platform: The platform.
        post: Called with the result of each request.
    """

    def __init__(
        self, platform: Platform, post: Callable[[ClaimEvent], Awaitable[None]]
    ) -> None:
        self._platform = platform
        self._post = post

    async def perform(self, request: ClaimRequest) -> None:
        """Carry out a request in the background."""
        await curio.spawn(self._run, request, daemon=True)

    async def _run(self, request: ClaimRequest) -> None:
        match request:
            case AppendClaims(batch, body):
                await self._post(ClaimsAppended(batch, await self._append(body)))
            case ReadClaims(offset):
                await self._post(ClaimsRead(offset, await self._read(offset)))
            case ScheduleClaimsAppend(delay_s):
                await curio.sleep(delay_s)
                await self._post(ClaimsAppendDue())

    async def _append(self, body: str) -> AppendResult:
        try:
            return await self._platform.append(CLAIMS_STREAM, body)
        except Exception as error:
            _log.exception("append to the claims stream failed")
            return AppendUnknown(repr(error))

    async def _read(self, offset: int) -> ReadResult:
        try:
            return await self._platform.read(CLAIMS_STREAM, offset, _READ_LIMIT)
        except Exception as error:
            _log.exception("read of the claims stream failed")
            return Unavailable(repr(error))

"""Pool of kept-alive connections to one worker, limited to this host's share."""

from collections.abc import Callable

import curio

from poplarhill.http import Connection, ConnectionLostError, IdleState, Limits
from poplarhill.http.messages import MIB
from poplarhill.types import WorkerSpec

CONNECT_TIMEOUT_S = 1.0
IDLE_S = 30.0
LIMITS = Limits(body_bytes=MIB)


class ConnectionPool:
    """At most `size` connections that each carry one request at a time.

    Args:
        spec: The worker.
        size: Maximum number of open connections.
        clock: Returns the host's own time, s.
        discarded: Called with the reason for each unsolicited reply.
        source: Own IP address to connect from; any if not given.
    """

    def __init__(
        self,
        spec: WorkerSpec,
        size: int,
        clock: Callable[[], float],
        discarded: Callable[[str], None],
        source: str | None = None,
    ) -> None:
        self._spec = spec
        self._clock = clock
        self._discarded = discarded
        self._source = source
        self._free = curio.Semaphore(size)
        self._idle: list[tuple[float, Connection]] = []

    @property
    def idle(self) -> int:
        """Count of open connections that carry no request."""
        return len(self._idle)

    async def acquire(self, timeout_s: float) -> Connection:
        """Return a connection that was usable when last checked.

        Raises:
            ConnectionLostError: No connection was available within `timeout_s`;
                nothing was sent.
        """
        if self._free.locked():
            await self._wait_for_slot(timeout_s)
        else:
            await self._free.acquire()
        try:
            return await self._reuse() or await self._open(timeout_s)
        except BaseException:
            await self._free.release()
            raise

    async def _wait_for_slot(self, timeout_s: float) -> None:
        try:
            await curio.timeout_after(timeout_s, self._free.acquire)
        except curio.TaskTimeout as error:
            detail = f"no free connection to {self._spec.name}"
            raise ConnectionLostError(detail, sent=False) from error

    async def release(self, connection: Connection) -> None:
        """Return a connection to the pool, which keeps it if it is reusable."""
        if connection.reusable:
            self._idle.append((self._clock(), connection))
        else:
            await connection.close()
        await self._free.release()

    async def discard(self, connection: Connection) -> None:
        """Return a connection that must not be used again; the pool closes it."""
        await connection.close()
        await self._free.release()

    async def close_idle(self, idle_s: float = IDLE_S) -> None:
        """Close every connection that has been idle for at least `idle_s`."""
        oldest = self._clock() - idle_s
        kept = [(since, c) for since, c in self._idle if since > oldest]
        expired = [c for since, c in self._idle if since <= oldest]
        self._idle = kept
        for connection in expired:
            await connection.close()

    async def _reuse(self) -> Connection | None:
        while self._idle:
            _, connection = self._idle.pop()
            match connection.idle_state():
                case IdleState.USABLE:
                    return connection
                case IdleState.UNSOLICITED:
                    self._discarded("unsolicited")
            await connection.close()
        return None

    async def _open(self, timeout_s: float) -> Connection:
        timeout_s = min(timeout_s, CONNECT_TIMEOUT_S)
        return await Connection.open(
            self._spec.host, self._spec.port, LIMITS, timeout_s, self._source
        )

"""An HTTP/1.1 server on curio, based on h11.

Each connection serves one request at a time, in one curio task. When the caller closes
the connection while a request is handled, the server cancels the handler. A caller
that closes only its sending side is treated the same way, but still receives an error
response.
"""

import resource
from collections.abc import Awaitable, Callable

import curio
import structlog

from poplarhill.exceptions import ErrorKind, Failure, error_body
from poplarhill.http.closes import CloseWatcher
from poplarhill.http.messages import Limits, Request, Response, json_response
from poplarhill.http.session import RefusedError, Session, SessionEndedError

Handler = Callable[[Request], Awaitable[Response]]

_BACKLOG = 1024
_ACCEPT_PAUSE_S = 0.1
_DRAIN_LINGER_S = 0.2
_OVERLOAD_RETRY_S = 1.0
_log = structlog.get_logger()


class HttpServer:
    """Accepts connections and passes complete requests to one handler.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 selects any free port.
        handler: Coroutine function that takes a request and returns a response.
        limits: Limits on requests.
    """

    def __init__(
        self, host: str, port: int, handler: Handler, limits: Limits | None = None
    ) -> None:
        self._handler = handler
        self._limits = limits or Limits()
        self._sock = curio.tcp_server_socket(host, port, backlog=_BACKLOG)
        self._max_connections = resource.getrlimit(resource.RLIMIT_NOFILE)[0] // 2
        self._open_connections = 0
        self._waiting_sessions: set[Session] = set()
        self._sessions: dict[int, Session] = {}
        self._closes = CloseWatcher(self._on_close)
        self._closing = False
        self._busy_connections = 0
        self._in_flight = 0
        self._all_idle = curio.Event()

    @property
    def port(self) -> int:
        """The TCP port that the server listens on."""
        return self._sock.getsockname()[1]

    @property
    def connections(self) -> int:
        """Count of open connections."""
        return self._open_connections

    @property
    def in_flight(self) -> int:
        """Count of requests that were received completely and are not answered yet."""
        return self._in_flight

    async def run(self) -> None:
        """Accept connections until cancelled."""
        async with curio.TaskGroup(wait=all) as group, self._sock:
            reaper = await curio.spawn(self._reap, group, daemon=True)
            watcher = await curio.spawn(self._closes.run, daemon=True)
            try:
                while True:
                    await self._accept(group)
            finally:
                await watcher.cancel()
                await reaper.cancel()
                await group.cancel_remaining()

    def close_after_answers(self) -> None:
        """Close each connection after its next response, from now on."""
        self._closing = True

    def close_idle(self) -> None:
        """Close the idle connections, so that callers connect to other hosts.

        A request that is on its way over an idle connection is lost. Call this
        only after callers have had time to notice that responses close their
        connections.
        """
        for session in self._waiting_sessions:
            session.close_idle()

    async def drain(self) -> None:
        """Answer the requests in flight and close each connection afterwards.

        Requests that arrive in the meantime are still handled, and a request that
        has been received in part is waited for. Idle connections are not waited
        for.
        """
        self.close_after_answers()
        await self.wait_idle()
        await curio.sleep(_DRAIN_LINGER_S)
        await self.wait_idle()

    async def wait_idle(self) -> None:
        """Wait until no request is being received or handled."""
        while self._busy_connections:
            self._all_idle.clear()
            await self._all_idle.wait()

    async def _accept(self, group: curio.TaskGroup) -> None:
        try:
            client, _ = await self._sock.accept()
        except OSError as error:
            _log.warning("accept failed", reason=str(error))
            await curio.sleep(_ACCEPT_PAUSE_S)
            return
        await group.spawn(self._serve, client)

    async def _reap(self, group: curio.TaskGroup) -> None:
        async for _ in group:
            pass

    async def _serve(self, client: curio.io.Socket) -> None:
        session = Session(client, self._limits, await curio.current_task())
        descriptor = client.fileno()
        self._open_connections += 1
        self._sessions[descriptor] = session
        self._closes.add(descriptor)
        try:
            async with client:
                try:
                    await self._serve_all(session)
                finally:
                    self._closes.remove(descriptor)
                    del self._sessions[descriptor]
        except (SessionEndedError, OSError, curio.TaskTimeout):
            return
        except curio.TaskCancelled:
            if not session.handling_cancelled:
                raise
        except Exception:
            _log.exception("connection failed")
        finally:
            self._open_connections -= 1

    async def _on_close(self, descriptor: int) -> None:
        """Cancel the handling of a request whose caller closed its connection."""
        session = self._sessions.get(descriptor)
        if session is not None:
            await session.closed_by_caller()

    async def _serve_all(self, session: Session) -> None:
        if self._open_connections > self._max_connections:
            detail = f"more than {self._max_connections} connections are open"
            failure = Failure(ErrorKind.OVERLOADED, detail, _OVERLOAD_RETRY_S)
            await session.refuse(failure)
        while session.reusable:
            await self._wait_for_data(session)
            self._busy_connections += 1
            try:
                await self._serve_one(session)
            finally:
                self._busy_connections -= 1
                if not self._busy_connections:
                    await self._all_idle.set()

    async def _serve_one(self, session: Session) -> None:
        try:
            request = await session.receive()
        except RefusedError as refused:
            await session.refuse(refused.failure)
            return
        await self._answer(session, request)

    async def _wait_for_data(self, session: Session) -> None:
        self._waiting_sessions.add(session)
        try:
            async with curio.timeout_after(self._limits.idle_s):
                await session.wait_for_data()
        finally:
            self._waiting_sessions.discard(session)

    async def _answer(self, session: Session, request: Request) -> None:
        self._in_flight += 1
        try:
            response = await self._handle(session, request)
            close = self._closing and not session.has_received_more()
            await session.send(response, close)
        finally:
            self._in_flight -= 1

    async def _handle(self, session: Session, request: Request) -> Response:
        if session.is_closed_by_caller():
            # The caller may have sent the request again, to another server.
            _log.info("RequestDropped", method=request.method, path=request.path)
        else:
            try:
                async with session.cancel_if_closed():
                    return await self._call_handler(request)
            except curio.TaskCancelled:
                if not session.handling_cancelled:
                    raise
        detail = "the caller closed its side of the connection"
        session.send_now(_failure_response(Failure(ErrorKind.STOPPED, detail)))
        raise SessionEndedError

    async def _call_handler(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except (Exception, curio.TaskTimeout):
            _log.exception("handler failed", method=request.method, path=request.path)
            return _failure_response(
                Failure(ErrorKind.INTERNAL, "internal error in this process")
            )


def _failure_response(failure: Failure) -> Response:
    body = {"state": "failed", "error": error_body(failure)}
    return json_response(failure.answer.status, body)

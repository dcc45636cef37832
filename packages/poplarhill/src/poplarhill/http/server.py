"""An HTTP/1.1 server on curio, based on h11.

Each connection serves one request at a time, in one curio task. When the caller closes
the connection while a request is handled, the server cancels the handler. A caller
that closes only its sending side is treated the same way, but still receives an error
response.
"""

import contextlib
import math
import time
from collections.abc import Awaitable, Callable
from itertools import islice

import curio
import structlog

from poplarhill.exceptions import ErrorKind, Failure, error_body
from poplarhill.http.closes import CloseWatcher
from poplarhill.http.limiter import NO_PLACE, Cause, InputLimiter, spread_retry
from poplarhill.http.listening import listen
from poplarhill.http.messages import KIB, Limits, Request, Response, json_response
from poplarhill.http.places import Places
from poplarhill.http.session import RefusedError, Session, SessionEndedError
from poplarhill.machine import MachineLimits

Handler = Callable[[Request], Awaitable[Response]]

_BACKLOG = 1024
_ACCEPT_PAUSE_S = 0.1
_DRAIN_LINGER_S = 0.2
_DRAIN_ACCEPT_S = 5.0  # balancers notice within 2.5 s that the host is not ready
_ACCEPTS_PER_TURN = 16
_MAX_PLACES_TRIED = 8
_MAX_LOGGED_PATH_CHARS = 200
_MAX_LOGGED_METHOD_CHARS = 20
_TURNED_AWAY_READ_BYTES = 16 * KIB  # unread data would reset the connection
_SHUTTING_DOWN = Failure(ErrorKind.SHUTTING_DOWN, "this host is shutting down", 1.0)
_log = structlog.get_logger()


class HttpServer:
    """Accepts connections and passes complete requests to one handler.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on; 0 selects any free port.
        handler: Coroutine function that takes a request and returns a response.
        limits: Limits on requests.
        limiter: What the listeners of the process share; one of its own if not given.
        max_connections: Largest number of open connections; what the machine allows
            for callers if not given.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        limits: Limits | None = None,
        limiter: InputLimiter | None = None,
        max_connections: int | None = None,
    ) -> None:
        machine = MachineLimits.from_machine()
        self._handler = handler
        self._limits = limits or Limits()
        self._limiter = limiter or InputLimiter.from_machine(machine)
        self._sock = listen(host, port, _BACKLOG)
        self._max_connections = max_connections or machine.caller_connections
        self._places: Places[Session] = Places()
        self._given_up: set[Session] = set()
        self._accepted = 0
        self._open_connections = 0
        self._waiting_sessions: set[Session] = set()
        self._sessions: dict[int, Session] = {}
        self._closes = CloseWatcher(self._on_close)
        self._closing = False
        self._refuses_new = False
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

    def set_limits(self, limits: Limits) -> None:
        """Put other limits in force, for requests that are not complete yet as well."""
        self._limits = limits

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
        for. New connections are refused after some seconds, since clients that come
        back at once would keep the server busy for ever.
        """
        self.close_after_answers()
        async with curio.ignore_after(_DRAIN_ACCEPT_S):
            await self._finish_requests()
            return
        self._refuses_new = True
        await self._finish_requests()

    async def wait_idle(self) -> None:
        """Wait until no request is being received or handled."""
        while self._busy_connections:
            self._all_idle.clear()
            await self._all_idle.wait()

    async def _finish_requests(self) -> None:
        await self.wait_idle()
        await curio.sleep(_DRAIN_LINGER_S)
        await self.wait_idle()

    async def _accept(self, group: curio.TaskGroup) -> None:
        try:
            client, _ = await self._sock.accept()
        except OSError as error:
            _log.warning("accept failed", reason=str(error))
            await curio.sleep(_ACCEPT_PAUSE_S)
            return
        self._accepted += 1
        if self._refuses_new:
            await self._turn_away(client, _SHUTTING_DOWN)
        elif self._make_place():
            self._open_connections += 1
            await group.spawn(self._serve, client)
        else:
            self._limiter.refused[Cause.NO_PLACE] += 1
            await self._turn_away(client, NO_PLACE)
        if self._accepted % _ACCEPTS_PER_TURN == 0:
            await curio.sleep(0)

    def _make_place(self) -> bool:
        """Return whether there is a place for one more connection, if need be made."""
        if self._open_connections - len(self._given_up) < self._max_connections:
            return True
        candidates = self._places.candidates(time.monotonic())
        for session in list(islice(candidates, _MAX_PLACES_TRIED)):
            if session.give_up(NO_PLACE):
                self._places.remove(session)
                self._given_up.add(session)
                return True
        return False

    async def _turn_away(self, client: curio.io.Socket, failure: Failure) -> None:
        """Refuse a connection without reading its request."""
        response = _encode_refusal(spread_retry(failure))
        async with client:
            with contextlib.suppress(OSError):
                client._socket.recv(_TURNED_AWAY_READ_BYTES)
            with contextlib.suppress(OSError):
                client._socket.send(response)

    async def _reap(self, group: curio.TaskGroup) -> None:
        async for _ in group:
            pass

    async def _serve(self, client: curio.io.Socket) -> None:
        descriptor = client.fileno()
        session: Session | None = None
        try:
            async with client:
                session = Session(
                    client,
                    lambda: self._limits,
                    await curio.current_task(),
                    self._limiter,
                    self._note_progress,
                )
                self._sessions[descriptor] = session
                self._places.add(session, time.monotonic())
                self._closes.add(descriptor)
                try:
                    await self._serve_all(session)
                finally:
                    self._closes.remove(descriptor)
                    del self._sessions[descriptor]
        except (SessionEndedError, RefusedError, OSError, curio.TaskTimeout):
            return
        except curio.TaskCancelled:
            if session is None or not session.handling_cancelled:
                raise
        except Exception:
            _log.exception("connection failed")
        finally:
            self._open_connections -= 1
            if session is not None:
                session.release()
                self._places.remove(session)
                self._given_up.discard(session)

    def _note_progress(self, session: Session) -> None:
        self._places.note_progress(session, time.monotonic())

    async def _on_close(self, descriptor: int) -> None:
        """Cancel the handling of a request whose caller closed its connection."""
        session = self._sessions.get(descriptor)
        if session is not None:
            await session.closed_by_caller()

    async def _serve_all(self, session: Session) -> None:
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
        self._places.hold(session)
        try:
            response = await self._handle(session, request)
            session.release()
            self._places.release(session, time.monotonic())
            close = self._closing and (
                self._refuses_new or not session.has_received_more()
            )
            await session.send(response, close)
        finally:
            self._in_flight -= 1

    async def _handle(self, session: Session, request: Request) -> Response:
        if session.is_closed_by_caller():
            # The caller may have sent the request again, to another server.
            _log.info("RequestDropped", **_for_log(request))
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
            _log.exception("handler failed", **_for_log(request))
            return _failure_response(
                Failure(ErrorKind.INTERNAL, "internal error in this process")
            )


def _failure_response(failure: Failure) -> Response:
    body = {"state": "failed", "error": error_body(failure)}
    return json_response(failure.answer.status, body)


def _for_log(request: Request) -> dict[str, str]:
    """Return the fields of a log line on a request, bounded in length."""
    return {
        "method": request.method[:_MAX_LOGGED_METHOD_CHARS],
        "path": request.path[:_MAX_LOGGED_PATH_CHARS],
    }


def _encode_refusal(failure: Failure) -> bytes:
    """Return the whole response to a client whose request is not read."""
    response = _failure_response(failure)
    fields = {
        **response.headers,
        "content-length": len(response.body),
        "retry-after": math.ceil(failure.retry_after_s or 0),
        "connection": "close",
    }
    lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
    return (
        f"HTTP/1.1 {response.status} \r\n{''.join(lines)}\r\n".encode() + response.body
    )

"""Hands over the led shards and answers the requests in flight before the exit."""

import curio
import structlog

from poplarhill.exceptions import ErrorKind, Failure
from poplarhill.http import HttpServer
from poplarhilld.entry.clock import uptime
from poplarhilld.entry.performer import Performer
from poplarhilld.entry.state import HostState
from poplarhilld.entry.ticker import TICK_S, Ticker
from poplarhilld.supervisor import Supervisor

# The balancer checks readiness every second and acts on the second refusal.
_BALANCER_NOTICE_S = 2.5
_ANSWER_BEFORE_KILL_S = 1.0  # before SIGKILL; a busy loop has run 0.04 s late
_EXIT_BEFORE_KILL_S = 0.3  # before SIGKILL; leaves time to write the last log lines
# A third of the margin above; an answer is written within a few milliseconds.
_FINAL_WRITE_TIMEOUT_S = 0.1
_PROCESS_FAILURE = Failure(ErrorKind.INTERNAL, "internal error in this process")
_log = structlog.get_logger()


class Shutdown:
    """Stops an entry host within its grace period.

    Args:
        state: State of this host.
        performer: Performs the resulting actions.
        ticker: Makes the decisions that depend on time.
        loops: Loops of the process.
        http: Server of the callers.
    """

    def __init__(
        self,
        state: HostState,
        performer: Performer,
        ticker: Ticker,
        loops: Supervisor,
        http: HttpServer,
    ) -> None:
        self._state = state
        self._performer = performer
        self._ticker = ticker
        self._loops = loops
        self._http = http

    async def drain(self) -> None:
        """Hand over the led shards and answer the requests in flight.

        Stops shortly before the end of the grace period, when the process is killed.
        """
        state, perform = self._state, self._performer.perform
        begin = uptime()
        state.shutting_down = True
        # From now on each answer closes its connection: one that stayed open could
        # receive a request at the moment when it is closed as idle below.
        self._http.close_after_answers()
        state.hosts.leave()
        _log.info(
            "ShutdownStarted",
            jobs=len(state.submissions),
            connections=self._http.connections,
            grace_s=state.settings.grace_s,
        )
        answerer = await curio.spawn(self._answer_after_failure, daemon=True)
        if not self._loops.failed:
            await self._ticker.tick()
        killed_at = begin + state.settings.grace_s
        state.submissions.set_stop_time(max(begin, killed_at - _ANSWER_BEFORE_KILL_S))
        remaining_s = killed_at - _EXIT_BEFORE_KILL_S - uptime()
        async with curio.ignore_after(max(0.0, remaining_s)):
            # The balancer sends requests until two readiness checks have failed.
            await curio.sleep(_BALANCER_NOTICE_S)
            await self._performer.peers.flush()
            self._http.close_idle()
            await self._http.drain()
            await self._lead_until_handover()
        # If the process was paused until now, the last jobs have no answer yet.
        await perform(state.submissions.tick(uptime()))
        async with curio.ignore_after(_FINAL_WRITE_TIMEOUT_S):
            await self._http.wait_idle()
        await answerer.cancel()

    async def _lead_until_handover(self) -> None:
        """Keep leading while other hosts are live and none of them can take over."""
        hosts = self._state.hosts
        while hosts.claims and hosts.live and not self._loops.failed:
            await curio.sleep(TICK_S)

    async def _answer_after_failure(self) -> None:
        """Answer every job in flight with a failure once a loop has failed.

        Earlier decisions may be wrong then, so the leaders get no withdrawal.
        """
        await self._loops.wait_failed()
        failed = self._state.submissions.fail_all(uptime(), _PROCESS_FAILURE)
        await self._performer.perform(failed)

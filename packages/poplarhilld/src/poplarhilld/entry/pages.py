"""The pages of an entry host for the balancer and for operators."""

from collections.abc import Callable

from poplarhill.http import InputLimiter, Request, Response, json_response
from poplarhilld.entry.clock import processor_time_s, uptime
from poplarhilld.entry.logs import LogBuffer
from poplarhilld.entry.metrics import EntryMetrics
from poplarhilld.entry.state import HostState
from poplarhilld.peers import PeerLinks
from poplarhilld.shards import data_centre

_HTTP_OK = 200
_HTTP_UNAVAILABLE = 503


class Pages:
    """Answers requests for the readiness and the metrics of an entry host.

    Args:
        state: State of this host.
        peers: Links to the other hosts.
        logs: Buffer of the log lines.
        metrics: Metrics of this process.
        limiter: What the listeners of this process share.
        ready: Returns whether this host accepts new jobs.
    """

    def __init__(
        self,
        state: HostState,
        peers: PeerLinks,
        logs: LogBuffer,
        metrics: EntryMetrics,
        limiter: InputLimiter,
        ready: Callable[[], bool],
    ) -> None:
        self._state = state
        self._peers = peers
        self._logs = logs
        self._metrics = metrics
        self._limiter = limiter
        self._ready = ready

    async def answer_readiness(self, request: Request) -> Response:
        """Answer a readiness check of the balancer."""
        ready = self._ready()
        return json_response(_HTTP_OK if ready else _HTTP_UNAVAILABLE, {"ready": ready})

    async def answer_metrics(self, request: Request) -> Response:
        """Return the metrics in the Prometheus text format."""
        metrics, state = self._metrics, self._state
        metrics.in_flight.set(len(state.submissions))
        metrics.led_workers.set(len(state.leader.workers))
        metrics.led_jobs.set(len(state.leader.jobs))
        metrics.looks_ahead.set(state.leader.looks_ahead)
        metrics.reservations.set(state.leader.reservations)
        metrics.live_hosts.set(len(state.hosts.live) + 1)
        metrics.version.set(state.catalogue.version)
        evacuated = state.evacuations.data_centres
        metrics.set_evacuated(evacuated, map(data_centre, state.shards))
        now = uptime()
        metrics.loop_delay_s.set(state.overload.delay_s(now))
        metrics.accepted_share.set(state.overload.accepted_share(now))
        for source, count in state.overload.refused.items():
            metrics.shed.labels(source).set(count)
        for outcome, count in state.submissions.transfers.items():
            metrics.transfers.labels(outcome).set(count)
        for place, count in state.leader.locality.placed.items():
            metrics.runs_by_data.labels(place).set(count)
        metrics.rack_waits.clear()
        for rack, wait_s in state.load(now).racks:
            metrics.rack_waits.labels(rack).set(wait_s)
        metrics.processor_s.set(processor_time_s())
        metrics.set_input(self._limiter)
        metrics.lines_dropped.set(self._logs.dropped)
        metrics.frames_dropped.set(self._peers.dropped)
        headers = {"content-type": "text/plain; version=0.0.4"}
        return Response(_HTTP_OK, headers, metrics.page())

"""A planned stop of one entry host, over real connections."""

import os
import signal
import time

import curio
import msgspec

from poplarhill.http import Connection, IdleState, Limits, Request
from poplarhill.types import Address, Resources
from poplarhill_dev.loopback import free_port
from poplarhilld.leading import Leader
from poplarhilld.peers import (
    Beat,
    JobEnded,
    JobOffer,
    JobReport,
    OfferedJob,
    PeerLinks,
    StepSpec,
)
from poplarhilld.peers.codec import Envelope
from poplarhilld.submissions.state import REPEAT_INTERVAL_S

NEVER_ENDS_S = 30.0
# What jobs that never end declare: a leader refuses one that declares more than its
# caller waits.
LONGEST_DECLARED_S = 0.5


def job(run_s: float) -> bytes:
    declared_ms = 1000 * min(run_s, LONGEST_DECLARED_S)
    step = {"count": 1, "cpu": 6800, "mem_mb": 64, "estimated_ms": declared_ms}
    spec = msgspec.json.encode({"run_s": run_s}).decode()
    return msgspec.json.encode({"spec": spec, "steps": [step], "best_effort": True})


def submission(number: int, run_s: float, **headers: str) -> Request:
    return Request("POST", f"/r0/{number:016x}", "", headers, job(run_s))


class Peer:
    """A peer that leads no workers, is shutting down, and offers one job."""

    def __init__(self, target: Address) -> None:
        self.reports: list[JobReport] = []
        self._target = target
        self._address = Address("127.0.0.1", free_port())
        self._links = PeerLinks("h2", self._address, self._receive)

    async def _receive(self, envelope: Envelope) -> None:
        if isinstance(envelope.message, JobReport):
            self.reports.append(envelope.message)

    async def send_heartbeats(self) -> None:
        """Send heartbeats for ever: this host receives those of `h1` and is leaving."""
        await curio.spawn(self._links.run, daemon=True)
        heartbeat = Beat(*self._address, "dc1", 1, 1.0, able=True, leaving=True)
        while True:
            await self._links.send(self._target, heartbeat._replace(heard=("h1",)))
            await curio.sleep(0.1)

    async def send_offers(self, run_s: float) -> None:
        """Offer a job for ever, as an entry host does until the job has an outcome."""
        spec = msgspec.json.encode({"run_s": run_s}).decode()
        steps = (StepSpec(1, Resources(6.8, 64, 0), run_s),)
        begin = time.monotonic()
        while True:
            elapsed_s = time.monotonic() - begin
            offer = JobOffer(
                f"{9:016x}",
                "r-0",
                "booking",
                spec,
                steps,
                0,
                2,
                1.6,
                0.06,
                elapsed_s,
                NEVER_ENDS_S - elapsed_s,
            )
            await self._links.send(self._target, OfferedJob(1, offer))
            await curio.sleep(REPEAT_INTERVAL_S)


async def kept_connection(platform) -> Connection:
    """Return an open connection over which one job has completed."""
    while not platform.host.ready:
        await curio.sleep(0.02)
    connection = await Connection.open(*platform.settings.callers, Limits(), 5.0)
    assert (await connection.exchange(submission(1, 0.05))).status == 200
    return connection


def test_a_stopping_host_with_a_late_loop_still_writes_its_last_responses(
    short_grace_platform,
) -> None:
    # Guards against closing connections before their responses are written: this
    # happened if the event loop was late by more than the time between the last
    # response and the exit of the process.
    grace_s = short_grace_platform.settings.grace_s

    async def scenario(platform) -> None:
        connection = await kept_connection(platform)
        os.kill(os.getpid(), signal.SIGTERM)
        stopped_at = time.monotonic()
        await curio.sleep(stopped_at + grace_s - 2.8 - time.monotonic())
        pending = await curio.spawn(connection.exchange, submission(2, NEVER_ENDS_S))
        await curio.sleep(stopped_at + grace_s - 1.4 - time.monotonic())
        time.sleep(max(0.0, stopped_at + grace_s - 0.8 - time.monotonic()))
        assert (await pending.join()).status == 504

    short_grace_platform.run_scenario(scenario)


def test_a_stopping_host_closes_idle_connections_while_it_still_answers_others(
    platform,
) -> None:
    # Guards against callers that send requests over an idle connection to a host that
    # is about to exit, long after the balancer stopped sending it new connections.
    async def scenario(platform) -> None:
        kept = await kept_connection(platform)
        other = await Connection.open(*platform.settings.callers, Limits(), 5.0)
        os.kill(os.getpid(), signal.SIGTERM)
        await curio.sleep(2.0)
        pending = await curio.spawn(other.exchange, submission(2, NEVER_ENDS_S))
        while kept.idle_state() is not IdleState.CLOSED:
            await curio.sleep(0.02)
        assert not pending.terminated
        assert (await pending.join()).status == 504

    platform.run_scenario(scenario)


def test_a_stopping_host_closes_each_connection_after_its_next_response(
    platform,
) -> None:
    # Guards against requests that arrive just as the host closes an idle connection:
    # two of 2,453 got no response on a day on which every host was stopped.
    async def scenario(platform) -> None:
        kept = await kept_connection(platform)
        os.kill(os.getpid(), signal.SIGTERM)
        while platform.host.ready:
            await curio.sleep(0.01)
        answer = await kept.exchange(submission(2, 0.05))
        assert (answer.status, answer.headers["connection"]) == (200, "close")

    platform.run_scenario(scenario)


def test_a_job_that_arrives_long_after_sigterm_is_not_left_unanswered(
    platform,
) -> None:
    # Guards against accepting a job that takes longer than the host still runs: one
    # arrived 4.5 s after SIGTERM, and its connection was closed without a response
    # when the host exited 0.5 s later.
    async def scenario(platform) -> None:
        early = await kept_connection(platform)
        os.kill(os.getpid(), signal.SIGTERM)
        stopped_at = time.monotonic()
        await curio.sleep(2.0)
        pending = await curio.spawn(early.exchange, submission(2, NEVER_ENDS_S))
        await curio.sleep(stopped_at + 3.3 - time.monotonic())
        later = await Connection.open(*platform.settings.callers, Limits(), 5.0)
        pending_later = await curio.spawn(later.exchange, submission(3, NEVER_ENDS_S))
        await curio.sleep(stopped_at + 4.5 - time.monotonic())
        last = await Connection.open(*platform.settings.callers, Limits(), 5.0)
        answer = await last.exchange(submission(4, 1.0))
        assert answer.status == 503
        assert msgspec.json.decode(answer.body)["error"]["kind"] == "shutting_down"
        assert (
            (await pending.join()).status == (await pending_later.join()).status == 504
        )

    platform.run_scenario(scenario)


# Jobs whose callers wait for longer than a stopping host runs were refused; they must
# not be left unanswered or ended sooner than needed either.
def test_a_stopping_host_serves_callers_that_wait_longer_than_it_runs(
    short_grace_platform,
) -> None:
    grace_s = short_grace_platform.settings.grace_s
    patient = {"deadline-ms": "30000"}

    async def scenario(platform) -> None:
        connection = await kept_connection(platform)
        other = await Connection.open(*platform.settings.callers, Limits(), 5.0)
        request = submission(2, NEVER_ENDS_S, **patient)
        pending = await curio.spawn(connection.exchange, request)
        await curio.sleep(0.2)
        os.kill(os.getpid(), signal.SIGTERM)
        stopped_at = time.monotonic()
        await curio.sleep(0.5)
        assert (await other.exchange(submission(3, 0.1, **patient))).status == 200
        assert (await pending.join()).status == 504
        assert grace_s - 1.1 < time.monotonic() - stopped_at < grace_s - 0.3

    short_grace_platform.run_scenario(scenario)


def test_a_stopping_host_resumed_after_its_deadline_writes_its_last_responses(
    short_grace_platform,
) -> None:
    # Guards against closing connections before their responses are written: a host
    # that was paused when its last responses were due exited before it wrote them.
    grace_s = short_grace_platform.settings.grace_s

    async def scenario(platform) -> None:
        connection = await kept_connection(platform)
        os.kill(os.getpid(), signal.SIGTERM)
        stopped_at = time.monotonic()
        await curio.sleep(stopped_at + grace_s - 2.8 - time.monotonic())
        pending = await curio.spawn(connection.exchange, submission(2, NEVER_ENDS_S))
        await curio.sleep(stopped_at + grace_s - 1.4 - time.monotonic())
        time.sleep(max(0.0, stopped_at + grace_s - 0.2 - time.monotonic()))
        assert (await pending.join()).status == 504

    short_grace_platform.run_scenario(scenario)


def test_a_host_whose_loop_fails_answers_the_jobs_in_flight(
    platform, monkeypatch
) -> None:
    # Guards against closing connections with jobs in flight when a loop of the host
    # fails: draining failed in the same way, and the process exited at once.
    def fail(leader: Leader, now: float) -> None:
        raise RuntimeError("a bug")

    async def scenario(platform) -> None:
        connection = await kept_connection(platform)
        pending = await curio.spawn(connection.exchange, submission(2, NEVER_ENDS_S))
        await curio.sleep(0.2)
        monkeypatch.setattr(Leader, "tick", fail)
        answer = await curio.timeout_after(1.0, pending.join)
        assert answer.status == 500
        assert msgspec.json.decode(answer.body)["error"]["kind"] == "internal"

    platform.run_scenario(scenario)
    assert platform.exit_code == 1


def test_a_stopping_leader_does_not_report_a_started_job_as_not_run(
    short_grace_platform,
) -> None:
    # Guards against answering offers after the workers have been released: a job that
    # had started was refused as not run, and its caller received this answer.
    async def scenario(platform) -> None:
        await kept_connection(platform)
        peer = Peer(platform.settings.peers)
        await curio.spawn(peer.send_heartbeats, daemon=True)
        await curio.sleep(0.5)
        await curio.spawn(peer.send_offers, NEVER_ENDS_S, daemon=True)
        while not any(worker.simulated.running for worker in platform.workers):
            await curio.sleep(0.02)
        os.kill(os.getpid(), signal.SIGTERM)
        await curio.sleep(platform.settings.grace_s + 0.5)
        ends = [report for report in peer.reports if isinstance(report, JobEnded)]
        assert not [end for end in ends if end.not_run]

    short_grace_platform.run_scenario(scenario)


def test_the_last_leader_stays_until_the_jobs_of_other_hosts_have_ended(
    platform,
) -> None:
    # Guards against a leader that exits because no job of its own is in flight, while
    # it still leads jobs of other hosts that no other leader can take over.
    async def scenario(platform) -> None:
        await kept_connection(platform)
        peer = Peer(platform.settings.peers)
        await curio.spawn(peer.send_heartbeats, daemon=True)
        await curio.sleep(0.5)
        os.kill(os.getpid(), signal.SIGTERM)
        await curio.sleep(0.5)
        await curio.spawn(peer.send_offers, 3.0, daemon=True)
        await curio.sleep(platform.settings.grace_s - 1.0)
        ends = [report for report in peer.reports if isinstance(report, JobEnded)]
        assert [end.error for end in ends[:1]] == [""]

    platform.run_scenario(scenario)

"""Simulates the workload of a large deployment with many hosts and several leaders.

The workload is drawn from the distributions that users state for such a deployment.
Entry hosts offer jobs to leaders by the load in their last heartbeats. A leader
spends processor time on each message, so that a busy one answers late. The command
prints the share of jobs that are answered in time, for a load and an assignment of
the workers to leaders.
"""

import heapq
from collections.abc import Iterable, Mapping
from random import Random
from typing import NamedTuple

import click

from poplarhill.types import Address
from poplarhill_dev.heavy import Kind, KindScore, Submitted, arrivals, draw_job, score
from poplarhill_dev.leased import (
    LINK_DELAY_S,
    TICK_S,
    SimulatedJob,
    SimulatedWorker,
    World,
    worker_entry,
)
from poplarhilld.catalogue import Route, WorkerEntry
from poplarhilld.leading import ReportJob
from poplarhilld.leases import LeaseReply, Renewal, TokenSource
from poplarhilld.peers.messages import JobReport, Load, OfferedJob
from poplarhilld.shards import Hosts, LocalHost, SendHeartbeat, data_centre, partition
from poplarhilld.shards.intervals import HEARTBEAT_INTERVAL_S
from poplarhilld.submissions import (
    AnswerCaller,
    LeaderView,
    OfferToLeader,
    Submission,
    Submissions,
    WithdrawFromLeader,
)

KINDS = (
    Kind("short wide", 103.0, 8, 32, 0.06, 0, 0.00485, 4, 8.0, 12.0),
    Kind("long", 18.8, 4, 16, 0.9, 2, 0.0267, 2, 8.0, 12.0),
    Kind("short narrow", 300.0, 2, 8, 0.2, 1, 0.00167, 2, 8.0, 12.0),
)
WORKERS = 176
_DEADLINE_S = 1.5
_ELECTION_S = 8.0  # half of the time from the start of the hosts to the first jobs
# The hosts find each other before the first of them has read the list of workers.
_CATALOGUE_READ_S = 1.5
_WARM_UP_S = 1.0  # the leaders learn run times first; these jobs are not scored
_ROUTES = {
    kind.name: Route(
        kind.name,
        "one.example",
        "/",
        "booking",
        _DEADLINE_S,
        0.06,
        1.6,
        kind.priority,
        kind.max_attempts,
    )
    for kind in KINDS
}


class Deployment(NamedTuple):
    """A deployment.

    Attributes:
        centres: Count of data centres.
        hosts: Count of entry hosts in each data centre.
        leaders: Count of leaders; 0 for the leaders that the hosts elect, -1 for one
            leader per shard.
        message_cost_s: Processor time that a leader spends on one message, s.
        heartbeat_interval_s: Time between two heartbeats, s; 0 if hosts always know
            the present load of the leaders.
    """

    centres: int = 4
    hosts: int = 8
    leaders: int = 0
    message_cost_s: float = 0.0003
    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S


class SimulatedFleet(World):
    """Workers, several leaders, and entry hosts that offer jobs to them."""

    def __init__(
        self, deployment: Deployment, workers: list[SimulatedWorker], seed: int
    ) -> None:
        super().__init__(workers, seed)
        self.deployment = deployment
        self.answered: dict[str, float] = {}
        self.failures: list[tuple[float, str, str]] = []
        self.busy_s: dict[str, float] = {}
        self._busy_until: dict[str, float] = {}
        self._leader_data_centres: dict[str, set[str]] = {}
        self._held_renewals: dict[str, tuple[str, Renewal, float]] = {}
        self._job_ids: dict[tuple[str, int], str] = {}
        self._received_views: dict[tuple[str, str], tuple[float, LeaderView]] = {}
        self.hosts = {
            f"dc{centre + 1}-{number}": Submissions()
            for centre in range(deployment.centres)
            for number in range(deployment.hosts)
        }
        shards = partition(self.entries.values())
        assignments = (
            _assign_shards(shards, deployment.leaders)
            if deployment.leaders
            else _elect_leaders(deployment, shards)
        )
        for number, (names, data_centres) in enumerate(assignments):
            leader = f"leader{number}"
            self._leader_data_centres[leader] = data_centres
            self._busy_until[leader] = self.busy_s[leader] = 0.0
            self.add_leader(leader, number + 1, {n: self.entries[n] for n in names})
            for host in self.hosts:
                self._schedule(
                    self.random.uniform(0, HEARTBEAT_INTERVAL_S),
                    self._send_heartbeat,
                    leader,
                    host,
                )
        for host in self.hosts:
            self._schedule(self.random.uniform(0, TICK_S), self._tick_host, host)

    def submit_to_host(self, host: str, number: int, job: SimulatedJob) -> None:
        """Submit a job of a caller to an entry host."""
        offer = job.offer
        self.jobs[offer.job_id] = job
        self._job_ids[host, number] = offer.job_id
        submission = Submission(
            offer.job_id, _ROUTES[offer.route], "{}", offer.steps, offer.left_s
        )
        submissions = self.hosts[host]
        if not self.deployment.heartbeat_interval_s:
            self._perform_for_host(
                host, submissions.update_leaders(self.now, self._views(host))
            )
        self._perform_for_host(host, submissions.submit(self.now, number, submission))

    def run(self, seconds: float) -> None:
        """Advance the simulated time, delivering what is due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            due, _, deliver = heapq.heappop(self._events)
            self.now = max(self.now, due)
            deliver()
        self.now = end

    def perform(self, leader: str, actions: Iterable) -> None:
        """Carry out the actions that a leader returned; reports go to the hosts."""
        actions = list(actions)
        for action in actions:
            match action:
                case ReportJob(host, report):
                    self._schedule(
                        LINK_DELAY_S, self._receive_report, leader, host, report
                    )
        super().perform(leader, [a for a in actions if not isinstance(a, ReportJob)])

    # Hosts

    def _view(self, host: str, leader: str) -> LeaderView:
        near = host.partition("-")[0] in self._leader_data_centres[leader]
        return LeaderView(1, near, self.leaders[leader].load(self.now))

    def _views(self, host: str) -> dict[str, LeaderView]:
        return {leader: self._view(host, leader) for leader in self.leaders}

    def _send_heartbeat(self, leader: str, host: str) -> None:
        view = self._view(host, leader)
        self._schedule(
            LINK_DELAY_S,
            self._received_views.__setitem__,
            (leader, host),
            (self.now, view),
        )
        self._schedule(
            self.deployment.heartbeat_interval_s or HEARTBEAT_INTERVAL_S,
            self._send_heartbeat,
            leader,
            host,
        )

    def _tick_host(self, host: str) -> None:
        submissions = self.hosts[host]
        if self.deployment.heartbeat_interval_s:
            views = {
                leader: self._received_views[leader, host][1]
                for leader in self.leaders
                if (leader, host) in self._received_views
            }
            self._perform_for_host(host, submissions.update_leaders(self.now, views))
        self._perform_for_host(host, submissions.tick(self.now))
        self._schedule(TICK_S, self._tick_host, host)

    def _perform_for_host(self, host: str, actions: Iterable) -> None:
        for action in actions:
            match action:
                case OfferToLeader(leader, offered):
                    self._schedule(
                        LINK_DELAY_S, self._receive_offer, leader, host, offered
                    )
                case WithdrawFromLeader(leader, withdrawn):
                    self._schedule(
                        LINK_DELAY_S,
                        self._enqueue_message,
                        leader,
                        "handle_withdrawal",
                        host,
                        withdrawn,
                    )
                case AnswerCaller(number, failure):
                    job_id = self._job_ids[host, number]
                    if failure is None:
                        self.answered[job_id] = self.now
                    else:
                        what = failure.kind.value
                        self.failures.append((self.now, job_id, what))

    def _receive_report(self, leader: str, host: str, report: JobReport) -> None:
        self._perform_for_host(
            host, self.hosts[host].apply_report(self.now, leader, report)
        )

    # Leaders

    def _receive_offer(self, leader: str, host: str, offered: OfferedJob) -> None:
        self._enqueue_message(
            leader, "handle_offer", host, offered.number, offered.offer
        )

    def _enqueue_message(self, leader: str, method: str, *args: object) -> None:
        """Queue a message for a leader, which handles one at a time."""
        begin = max(self.now, self._busy_until[leader])
        self._busy_until[leader] = begin + self.deployment.message_cost_s
        self.busy_s[leader] += self.deployment.message_cost_s
        delay_s = begin + self.deployment.message_cost_s - self.now
        self._schedule(delay_s, self._process_message, leader, method, args)

    def _process_message(self, leader: str, method: str, args: tuple) -> None:
        self.perform(leader, getattr(self.leaders[leader], method)(self.now, *args))

    def _deliver_reply(self, leader: str, method: str, *args: object) -> None:
        self._enqueue_message(leader, method, *args)

    def add_leader(
        self, name: str, number: int, entries: dict[str, WorkerEntry] | None = None
    ) -> object:
        """Add a leader and schedule its ticks."""
        added = super().add_leader(name, number, entries)
        self._schedule(TICK_S, self._tick_leader, name)
        return added

    def _tick_leader(self, leader: str) -> None:
        self.perform(leader, self.leaders[leader].tick(self.now))
        self._schedule(TICK_S, self._tick_leader, leader)

    # Workers: an event is scheduled for the end of each run, instead of polling.

    def _hold_renewal(
        self,
        leader: str,
        name: str,
        renewal: Renewal,
        until: float,
        incarnation: int,
    ) -> None:
        # No worker of these deployments restarts.
        self._held_renewals[name] = (leader, renewal, until)
        self._schedule(max(0.0, until - self.now), self._answer_held_renewal, name)
        self._answer_held_renewal(name)

    def _answer_held_renewal(self, name: str) -> None:
        """Reply to the renewal that a worker holds if a run has ended or it is due."""
        self.workers[name].advance(self.now)
        if name not in self._held_renewals:
            return
        leader, renewal, until = self._held_renewals[name]
        reply = self.workers[name].renew(self.now, renewal._replace(deadline_s=None))
        ends = isinstance(reply, LeaseReply) and reply.ends
        if ends or self.now >= until:
            del self._held_renewals[name]
            self._schedule(
                LINK_DELAY_S,
                self._deliver_reply,
                leader,
                "handle_renewal_reply",
                name,
                renewal,
                reply,
            )

    def _apply_start(self, name: str, order: object) -> object:
        reply = super()._apply_start(name, order)
        running = self.workers[name].running.get(order.run)
        if running is not None:
            self._schedule(
                running.until - self.now + 1e-6, self._answer_held_renewal, name
            )
        return reply


def _elect_leaders(
    deployment: Deployment, shards: Mapping[str, Mapping]
) -> list[tuple[list[str], set[str]]]:
    """Return workers and data centres of each leader that the hosts elect."""
    addresses = {
        f"dc{centre + 1}-{number}": Address(f"10.{centre}.0.{number}", 1)
        for centre in range(deployment.centres)
        for number in range(deployment.hosts)
    }
    names = {address: name for name, address in addresses.items()}
    hosts = {
        name: Hosts(
            LocalHost(name, address, name.partition("-")[0], 1, 1.0),
            addresses.values(),
            TokenSource(address),
            0.0,
        )
        for name, address in addresses.items()
    }
    able_at = {
        name: _CATALOGUE_READ_S + TICK_S * number for number, name in enumerate(hosts)
    }
    sizes = {shard: len(workers) for shard, workers in shards.items()}
    reached = dict.fromkeys(shards, 0.0)
    for tick in range(1, round(_ELECTION_S / TICK_S)):
        now = tick * TICK_S
        heartbeats = []
        for name, host in hosts.items():
            able = now > able_at[name]
            for action in host.tick(now, now, sizes, able, Load(), 1, reached):
                if isinstance(action, SendHeartbeat):
                    heartbeats.append((names[action.address], name, action.heartbeat))
        for receiver, sender, heartbeat in heartbeats:
            hosts[receiver].heartbeat_received(now, sender, heartbeat)
    assignments = []
    for host in hosts.values():
        if host.claims:
            led = [name for shard in sorted(host.claims) for name in shards[shard]]
            assignments.append((led, {data_centre(shard) for shard in host.claims}))
    return assignments


def _assign_shards(
    shards: Mapping[str, Mapping], leaders: int
) -> list[tuple[list[str], set[str]]]:
    """Assign contiguous shards to leaders evenly, or one shard to each leader."""
    count = leaders if leaders > 0 else len(shards)
    assignments: list[tuple[list[str], set[str]]] = [([], set()) for _ in range(count)]
    for index, shard in enumerate(sorted(shards)):
        names, data_centres = assignments[index * count // len(shards)]
        names.extend(shards[shard])
        data_centres.add(data_centre(shard))
    return assignments


class Outcome(NamedTuple):
    """Result of a simulation.

    Attributes:
        kinds: Scores by kind of job.
        failures: Count of failed jobs, by kind of failure.
        max_utilisation: Share of the time that the busiest leader spent on messages.
    """

    kinds: dict[str, KindScore]
    failures: dict[str, int]
    max_utilisation: float

    @property
    def credit(self) -> float:
        """Mean credit of the kinds, which have the same total value in the workload."""
        return sum(kind.credit for kind in self.kinds.values()) / len(self.kinds)


def replay(deployment: Deployment, load: float, seconds: float, seed: int) -> Outcome:
    """Run a load through the hosts and leaders of a deployment.

    Args:
        deployment: The deployment.
        load: Factor on the arrival rates of the workload.
        seconds: How long jobs that are scored arrive, s.
        seed: Seed of every random choice.
    """
    random = Random(seed)
    fleet = SimulatedFleet(deployment, _workers(random, deployment.centres), seed)
    fleet.run(0.3)
    begin = fleet.now
    submitted: dict[str, Submitted] = {}
    hosts = list(fleet.hosts)
    drawn = arrivals(random, KINDS, load, _WARM_UP_S + seconds)
    for number, (at, kind) in enumerate(drawn):
        fleet.run(max(0.0, begin + at - fleet.now))
        job, longest_task_s = draw_job(random, kind, f"j{number}")
        if at >= _WARM_UP_S:
            submitted[job.offer.job_id] = Submitted.of(
                job, kind, fleet.now, longest_task_s
            )
        fleet.submit_to_host(random.choice(hosts), number, job)
    elapsed_s = fleet.now - begin
    fleet.run(2.0)
    failures: dict[str, int] = {}
    for _, job_id, what in fleet.failures:
        if job_id in submitted:
            failures[what] = failures.get(what, 0) + 1
    return Outcome(
        score(KINDS, submitted, fleet.answered),
        failures,
        max(fleet.busy_s.values()) / elapsed_s,
    )


def _workers(random: Random, centres: int) -> list[SimulatedWorker]:
    workers = []
    for number in range(WORKERS):
        cores = 24.0 if number % 3 == 2 else 16.0
        entry = worker_entry(f"w{number}", cores)._replace(
            data_centre=f"dc{number * centres // WORKERS + 1}"
        )
        speed = random.choice((0.8, 1.0, 1.25))
        workers.append(SimulatedWorker(entry, slowdown=1 / speed))
    return workers


@click.command()
@click.option("--load", default=1.0, help="Factor on the arrival rates.")
@click.option("--seconds", default=4.0, help="How long jobs that are scored arrive, s.")
@click.option("--seeds", default=3, help="Count of seeds.")
@click.option("--centres", default=4, help="Count of data centres.")
@click.option("--hosts", default=8, help="Entry hosts per data centre.")
@click.option(
    "--leaders", default=0, help="Leaders; 0 for those elected, -1 for one per shard."
)
@click.option("--event-ms", default=0.3, help="Leader's time per message, ms.")
@click.option(
    "--beat-ms",
    default=1000 * HEARTBEAT_INTERVAL_S,
    help="Time between heartbeats, ms; 0 if hosts always know the load.",
)
def grown(
    load: float,
    seconds: float,
    seeds: int,
    centres: int,
    hosts: int,
    leaders: int,
    event_ms: float,
    beat_ms: float,
) -> None:
    """Show the share of jobs in time on a large deployment, by kind of job."""
    deployment = Deployment(centres, hosts, leaders, event_ms / 1000, beat_ms / 1000)
    for seed in range(seeds):
        outcome = replay(deployment, load, seconds, seed)
        kinds = " ".join(
            f"{name}: in time {kind.in_time:.3f} served {kind.served:.3f};"
            for name, kind in outcome.kinds.items()
        )
        click.echo(
            f"load {load:g} seed {seed} credit {outcome.credit:.3f} "
            f"busiest leader {outcome.max_utilisation:.2f} {kinds} {outcome.failures}"
        )


if __name__ == "__main__":
    grown()

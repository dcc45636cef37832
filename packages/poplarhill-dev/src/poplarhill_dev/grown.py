"""Replays the mix of the grown sheets through many hosts and several leaders.

Entry hosts hand jobs to leaders by views that are a heartbeat old. Each leader
takes processor time for what it is told, so that a busy one is slow. It shows who
is in time at a load, by how the workers are dealt to leaders.
"""

import heapq
from collections.abc import Iterable, Mapping
from random import Random
from typing import NamedTuple

import click

from poplarhill.types import Address
from poplarhill_dev.heavy import Kind, KindScore, Submitted, arrivals, draw_job, score
from poplarhill_dev.leased import (
    LINK_S,
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
from poplarhilld.shards.state import HEARTBEAT_INTERVAL_S
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
_ELECTION_S = 8.0  # half of the time from the start of hosts to that of traffic
_ABLE_S = 1.5  # hosts find each other before the first has read the list of workers
_WARM_UP_S = 1.0  # run times are learned meanwhile; not scored
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


class Deal(NamedTuple):
    """A deployment.

    Attributes:
        centres: Count of data centres.
        hosts: Count of entry hosts in each.
        leaders: Leaders of the fleet; 0 for those that the hosts agree on, -1 for
            one a shard.
        event_s: Processor time that a leader takes for one thing it is told, s.
        view_s: Time between two heartbeats; 0 for a perfect view, s.
    """

    centres: int = 4
    hosts: int = 8
    leaders: int = 0
    event_s: float = 0.0003
    view_s: float = HEARTBEAT_INTERVAL_S


class Fleet(World):
    """Workers, several leaders, and hosts that hand jobs to them."""

    def __init__(self, deal: Deal, workers: list[SimulatedWorker], seed: int) -> None:
        super().__init__(workers, seed)
        self.deal = deal
        self.answered: dict[str, float] = {}
        self.failures: list[tuple[float, str, str]] = []
        self.busy_s: dict[str, float] = {}
        self._busy_until: dict[str, float] = {}
        self._places: dict[str, set[str]] = {}
        self._waits: dict[str, tuple[str, Renewal, float]] = {}
        self._ids: dict[tuple[str, int], str] = {}
        self._beats: dict[tuple[str, str], tuple[float, LeaderView]] = {}
        self.hosts = {
            f"dc{place + 1}-{number}": Submissions()
            for place in range(deal.centres)
            for number in range(deal.hosts)
        }
        shards = partition(self.entries.values())
        dealt = _deal(shards, deal.leaders) if deal.leaders else _agreed(deal, shards)
        for number, (names, places) in enumerate(dealt):
            leader = f"leader{number}"
            self._places[leader] = places
            self._busy_until[leader] = self.busy_s[leader] = 0.0
            self.add_leader(leader, number + 1, {n: self.entries[n] for n in names})
            for host in self.hosts:
                self._later(
                    self.random.uniform(0, HEARTBEAT_INTERVAL_S),
                    self._beat,
                    leader,
                    host,
                )
        for host in self.hosts:
            self._later(self.random.uniform(0, TICK_S), self._tick_host, host)

    def submit_at(self, host: str, number: int, job: SimulatedJob) -> None:
        """Take a job of a caller at a host."""
        offer = job.offer
        self.jobs[offer.job_id] = job
        self._ids[host, number] = offer.job_id
        submission = Submission(
            offer.job_id, _ROUTES[offer.route], "{}", offer.steps, offer.left_s
        )
        submissions = self.hosts[host]
        if not self.deal.view_s:
            self._act(host, submissions.update_leaders(self.now, self._views(host)))
        self._act(host, submissions.submit(self.now, number, submission))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._mail and self._mail[0][0] <= end:
            due, _, deliver = heapq.heappop(self._mail)
            self.now = max(self.now, due)
            deliver()
        self.now = end

    def perform(self, leader: str, actions: Iterable) -> None:
        """Carry out what a leader asks for; reports go to the hosts."""
        actions = list(actions)
        for action in actions:
            match action:
                case ReportJob(host, report):
                    self._later(LINK_S, self._report, leader, host, report)
        super().perform(leader, [a for a in actions if not isinstance(a, ReportJob)])

    # Hosts

    def _view(self, host: str, leader: str) -> LeaderView:
        near = host.partition("-")[0] in self._places[leader]
        return LeaderView(1, near, self.leaders[leader].load(self.now))

    def _views(self, host: str) -> dict[str, LeaderView]:
        return {leader: self._view(host, leader) for leader in self.leaders}

    def _beat(self, leader: str, host: str) -> None:
        view = self._view(host, leader)
        self._later(LINK_S, self._beats.__setitem__, (leader, host), (self.now, view))
        self._later(self.deal.view_s or HEARTBEAT_INTERVAL_S, self._beat, leader, host)

    def _tick_host(self, host: str) -> None:
        submissions = self.hosts[host]
        if self.deal.view_s:
            views = {
                leader: self._beats[leader, host][1]
                for leader in self.leaders
                if (leader, host) in self._beats
            }
            self._act(host, submissions.update_leaders(self.now, views))
        self._act(host, submissions.tick(self.now))
        self._later(TICK_S, self._tick_host, host)

    def _act(self, host: str, actions: Iterable) -> None:
        for action in actions:
            match action:
                case OfferToLeader(leader, offered):
                    self._later(LINK_S, self._offered, leader, host, offered)
                case WithdrawFromLeader(leader, withdrawn):
                    self._later(LINK_S, self._tell, leader, "withdraw", host, withdrawn)
                case AnswerCaller(number, failure):
                    job_id = self._ids[host, number]
                    if failure is None:
                        self.answered[job_id] = self.now
                    else:
                        what = failure.kind.value
                        self.failures.append((self.now, job_id, what))

    def _report(self, leader: str, host: str, report: JobReport) -> None:
        self._act(host, self.hosts[host].apply_report(self.now, leader, report))

    # Leaders

    def _offered(self, leader: str, host: str, offered: OfferedJob) -> None:
        self._tell(leader, "offer", host, offered.number, offered.offer)

    def _tell(self, leader: str, method: str, *args: object) -> None:
        """Tell a leader something; it takes things one after the other."""
        begin = max(self.now, self._busy_until[leader])
        self._busy_until[leader] = begin + self.deal.event_s
        self.busy_s[leader] += self.deal.event_s
        delay_s = begin + self.deal.event_s - self.now
        self._later(delay_s, self._take_in, leader, method, args)

    def _take_in(self, leader: str, method: str, args: tuple) -> None:
        self.perform(leader, getattr(self.leaders[leader], method)(self.now, *args))

    def _deliver(self, leader: str, method: str, *args: object) -> None:
        self._tell(leader, method, *args)

    def add_leader(
        self, name: str, number: int, entries: dict[str, WorkerEntry] | None = None
    ) -> object:
        """Make a leader that ticks by itself."""
        made = super().add_leader(name, number, entries)
        self._later(TICK_S, self._tick_leader, name)
        return made

    def _tick_leader(self, leader: str) -> None:
        self.perform(leader, self.leaders[leader].tick(self.now))
        self._later(TICK_S, self._tick_leader, leader)

    # Workers: told of ends when they come, not by polls.

    def _wait_for_end(
        self, leader: str, name: str, renewal: Renewal, until: float
    ) -> None:
        self._waits[name] = (leader, renewal, until)
        self._later(max(0.0, until - self.now), self._poke, name)
        self._poke(name)

    def _poke(self, name: str) -> None:
        """Answer the renewal that waits at a worker, if it is time."""
        self.workers[name].advance(self.now)
        if name not in self._waits:
            return
        leader, renewal, until = self._waits[name]
        reply = self.workers[name].renew(self.now, renewal._replace(deadline_s=None))
        ends = isinstance(reply, LeaseReply) and reply.ends
        if ends or self.now >= until:
            del self._waits[name]
            self._later(
                LINK_S,
                self._deliver,
                leader,
                "handle_renewal_reply",
                name,
                renewal,
                reply,
            )

    def _take_start(self, name: str, order: object) -> object:
        reply = super()._take_start(name, order)
        running = self.workers[name].running.get(order.run)
        if running is not None:
            self._later(running.until - self.now + 1e-6, self._poke, name)
        return reply


def _agreed(
    deal: Deal, shards: Mapping[str, Mapping]
) -> list[tuple[list[str], set[str]]]:
    """Return what each leader leads once hosts have beaten to each other."""
    addresses = {
        f"dc{place + 1}-{number}": Address(f"10.{place}.0.{number}", 1)
        for place in range(deal.centres)
        for number in range(deal.hosts)
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
    able_at = {name: _ABLE_S + TICK_S * number for number, name in enumerate(hosts)}
    sizes = {shard: len(workers) for shard, workers in shards.items()}
    reached = dict.fromkeys(shards, 0.0)
    for tick in range(1, round(_ELECTION_S / TICK_S)):
        now = tick * TICK_S
        beats = []
        for name, host in hosts.items():
            able = now > able_at[name]
            for action in host.tick(now, now, sizes, able, Load(), 1, reached):
                if isinstance(action, SendHeartbeat):
                    beats.append((names[action.address], name, action.heartbeat))
        for receiver, sender, beat in beats:
            hosts[receiver].heartbeat_received(now, sender, beat)
    dealt = []
    for host in hosts.values():
        if host.claims:
            led = [name for shard in sorted(host.claims) for name in shards[shard]]
            dealt.append((led, {data_centre(shard) for shard in host.claims}))
    return dealt


def _deal(
    shards: Mapping[str, Mapping], leaders: int
) -> list[tuple[list[str], set[str]]]:
    """Deal shards to leaders: one each, or evenly, neighbours together."""
    count = leaders if leaders > 0 else len(shards)
    dealt: list[tuple[list[str], set[str]]] = [([], set()) for _ in range(count)]
    for index, shard in enumerate(sorted(shards)):
        names, places = dealt[index * count // len(shards)]
        names.extend(shards[shard])
        places.add(data_centre(shard))
    return dealt


class Outcome(NamedTuple):
    """What a replay showed.

    Attributes:
        kinds: How each kind fared.
        failures: Count of failed jobs, by kind of failure.
        busiest: Part of its time for which the busiest leader worked.
    """

    kinds: dict[str, KindScore]
    failures: dict[str, int]
    busiest: float

    @property
    def credit(self) -> float:
        """Mean credit of the kinds; the sheets' rates make them count alike."""
        return sum(kind.credit for kind in self.kinds.values()) / len(self.kinds)


def replay(deal: Deal, load: float, seconds: float, seed: int) -> Outcome:
    """Play a load through the hosts and leaders of a deployment.

    Args:
        deal: The deployment.
        load: Factor on the sheets' arrivals.
        seconds: How long jobs arrive and are scored, s.
        seed: Seed of every random choice.
    """
    random = Random(seed)
    fleet = Fleet(deal, _workers(random, deal.centres), seed)
    fleet.run(0.3)
    begin = fleet.now
    submitted: dict[str, Submitted] = {}
    hosts = list(fleet.hosts)
    drawn = arrivals(random, KINDS, load, _WARM_UP_S + seconds)
    for number, (at, kind) in enumerate(drawn):
        fleet.run(max(0.0, begin + at - fleet.now))
        job, chain_s = draw_job(random, kind, f"j{number}")
        if at >= _WARM_UP_S:
            submitted[job.offer.job_id] = Submitted.of(job, kind, fleet.now, chain_s)
        fleet.submit_at(random.choice(hosts), number, job)
    took_s = fleet.now - begin
    fleet.run(2.0)
    failures: dict[str, int] = {}
    for _, job_id, what in fleet.failures:
        if job_id in submitted:
            failures[what] = failures.get(what, 0) + 1
    return Outcome(
        score(KINDS, submitted, fleet.answered),
        failures,
        max(fleet.busy_s.values()) / took_s,
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
@click.option("--load", default=1.0, help="Factor on the sheets' arrivals.")
@click.option("--seconds", default=4.0, help="How long jobs are scored, s.")
@click.option("--seeds", default=3, help="Count of seeds.")
@click.option("--centres", default=4, help="Count of data centres.")
@click.option("--hosts", default=8, help="Count of entry hosts in each.")
@click.option("--leaders", default=0, help="Leaders; -1 for one a shard.")
@click.option("--event-ms", default=0.3, help="Leader's time for an event, ms.")
@click.option(
    "--beat-ms",
    default=1000 * HEARTBEAT_INTERVAL_S,
    help="Age of views, ms; 0 for none.",
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
    """Show who is in time on a grown deployment, by kind of job."""
    deal = Deal(centres, hosts, leaders, event_ms / 1000, beat_ms / 1000)
    for seed in range(seeds):
        outcome = replay(deal, load, seconds, seed)
        kinds = " ".join(
            f"{name}: in time {kind.in_time:.3f} served {kind.served:.3f};"
            for name, kind in outcome.kinds.items()
        )
        click.echo(
            f"load {load:g} seed {seed} credit {outcome.credit:.3f} "
            f"busiest leader {outcome.busiest:.2f} {kinds} {outcome.failures}"
        )


if __name__ == "__main__":
    grown()

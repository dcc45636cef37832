"""No job that leaders give back runs twice, under any order of events."""

from collections import deque
from collections.abc import Iterable
from random import Random

import pytest

from poplarhill.exceptions import Failure, RunState
from poplarhill_dev.leased import SimulatedWorker, World, simulated_job, worker_entry
from poplarhilld.catalogue import Route
from poplarhilld.leading import ReportJob
from poplarhilld.peers.messages import JobEnded, Load, OfferedJob
from poplarhilld.submissions import (
    AnswerCaller,
    LeaderView,
    OfferToLeader,
    Submission,
    Submissions,
    WithdrawFromLeader,
)
from poplarhilld.submissions.transfer import MAX_TRANSFERS

ROUTE = Route("deposit", "one.example", "/r/", "booking", 1.5, 0.06, 1.6, 0, 2)
HOSTS = ("e1", "e2")
LEADERS = ("h1", "h2", "h3")
FREE = Load(32.0, 32.0, 0.0)
WALKS, STEPS = 100, 300


class Fleet(World):
    """Entry hosts and leaders of a worker each, with links that deliver on request."""

    def __init__(self) -> None:
        super().__init__(SimulatedWorker(worker_entry(f"w{n}")) for n in range(3))
        self.hosts = {name: Submissions() for name in HOSTS}
        self.links: dict[tuple[str, str], deque] = {}
        self.views = {
            host: {name: LeaderView(1, True, FREE) for name in LEADERS}
            for host in HOSTS
        }
        self.numbers = 0
        self.job_of: dict[int, str] = {}
        self.answers: dict[int, list[Failure | None]] = {}
        self.offered: dict[int, list[str]] = {}
        self.handed_over: set[str] = set()
        self.transfers = 0
        for number, name in enumerate(LEADERS):
            worker = f"w{number}"
            led = {worker: self.entries[worker]}
            others = frozenset(self.entries.keys() - led.keys())
            leader = self.add_leader(name, number + 1, led)
            self.perform(name, leader.set_workers(self.now, self.now, led, others))
        super().run(0.2)
        for name in HOSTS:
            self.update_views(name)

    def update_views(self, host: str) -> None:
        """Let an entry host learn which leaders it reaches."""
        self.act(host, self.hosts[host].update_leaders(self.now, self.views[host]))

    def submit_job(self, host: str, job_id: str, run_s: float) -> None:
        """Let a caller submit a job with two tasks, which fill a worker."""
        self.numbers += 1
        job = simulated_job(job_id, tasks=2, run_s=run_s)
        self.jobs[job_id] = job
        self.job_of[self.numbers] = job_id
        self.answers[self.numbers] = []
        submission = Submission(job_id, ROUTE, "{}", job.offer.steps, 1.5)
        actions = self.hosts[host].submit(self.now, self.numbers, submission)
        self.act(host, actions)

    def submit_again(self, host: str, random: Random) -> None:
        """Submit a job again that was refused as not run each time."""
        done = {
            job_id
            for number, job_id in self.job_of.items()
            if not any(map(_is_not_run, self.answers[number]))
        }
        refused = set(self.job_of.values()) - done
        if refused:
            job_id = random.choice(sorted(refused))
            self.submit_job(host, job_id, self.jobs[job_id].run_s)

    def act(self, host: str, actions: Iterable) -> None:
        """Carry out the actions of an entry host."""
        for action in actions:
            match action:
                case OfferToLeader(leader, offered):
                    names = self.offered.setdefault(offered.number, [])
                    if names[-1:] != [leader]:
                        names.append(leader)
                    if offered.offer.handovers:
                        self.handed_over.add(offered.offer.job_id)
                    self.send(host, leader, offered)
                case WithdrawFromLeader(leader, withdrawn):
                    self.send(host, leader, withdrawn)
                case AnswerCaller(number, failure):
                    self.answers[number].append(failure)

    def perform(self, leader: str, actions: Iterable) -> None:
        """Carry out the actions of a leader; reports go over the links."""
        for action in actions:
            if isinstance(action, ReportJob):
                self.send(leader, action.host, action.report)
                ended = isinstance(action.report, JobEnded)
                self.transfers += ended and action.report.elsewhere
            else:
                super().perform(leader, [action])

    def send(self, sender: str, receiver: str, message: object) -> None:
        """Queue a message on a link."""
        self.links.setdefault((sender, receiver), deque()).append(message)

    def deliver(self, sender: str, receiver: str) -> None:
        """Deliver the oldest message of a link."""
        link = self.links.get((sender, receiver))
        if not link:
            return
        message = link.popleft()
        if receiver in self.hosts:
            submissions = self.hosts[receiver]
            self.act(receiver, submissions.apply_report(self.now, sender, message))
            return
        leader = self.leaders[receiver]
        if isinstance(message, OfferedJob):
            actions = leader.handle_offer(
                self.now, sender, message.number, message.offer
            )
        else:
            actions = leader.handle_withdrawal(self.now, sender, message)
        self.perform(receiver, actions)

    def pass_time(self, seconds: float) -> None:
        """Let time pass in steps of a tick."""
        end = self.now + seconds
        while self.now < end:
            self.run(0.05)
            for name, submissions in self.hosts.items():
                self.act(name, submissions.tick(self.now))


def walk(fleet: Fleet, random: Random, steps: int) -> None:
    """Take random steps: bursts, deliveries, cuts, lost leaders, passing time."""
    for _ in range(steps):
        match random.choices(range(7), (7, 10, 110, 8, 2, 2, 4))[0]:
            case 0:
                for _ in range(random.randint(1, 3)):
                    run_s = random.choice([0.2, 0.6, 0.9])
                    host = random.choice(HOSTS)
                    fleet.submit_job(host, f"j{fleet.numbers}", run_s)
            case 1:
                fleet.pass_time(random.choice([0.05, 0.1, 0.35]))
            case 2:
                waiting = [link for link, queue in fleet.links.items() if queue]
                if waiting:
                    link = random.choice(waiting)
                    for _ in range(random.randint(1, 6)):
                        fleet.deliver(*link)
            case 3:
                fleet.submit_again(random.choice(HOSTS), random)
            case 4:
                random.choice(list(fleet.links.values()) or [deque()]).clear()
            case 5:
                host = random.choice(HOSTS)
                fleet.views[host].pop(random.choice(LEADERS), None)
                fleet.update_views(host)
            case 6:
                host = random.choice(HOSTS)
                load = random.choice([FREE, FREE, Load(32.0, 0.0, 64.0)])
                fleet.views[host][random.choice(LEADERS)] = LeaderView(1, True, load)
                fleet.update_views(host)
        check(fleet)


def _is_not_run(failure: Failure | None) -> bool:
    return failure is not None and failure.answer.run_state is RunState.NOT_RUN


def check(fleet: Fleet) -> None:
    """Check what must hold at any time."""
    assert not fleet.violations
    last = {job_id: number for number, job_id in fleet.job_of.items()}
    for number, answers in fleet.answers.items():
        assert len(answers) <= 1
        job_id = fleet.job_of[number]
        starts = {
            task: len(at)
            for task, at in fleet.starts_by_task.items()
            if task.startswith(f"{job_id}.")
        }
        if answers and last[job_id] == number and _is_not_run(answers[0]):
            assert not starts, f"{job_id} was answered as not run"
        if answers == [None]:
            assert len(starts) == 2
        if job_id not in fleet.handed_over:
            assert all(count == 1 for count in starts.values())


@pytest.mark.parametrize("seed", range(WALKS))
def test_the_send_rule_holds_under_any_interleaving(seed: int) -> None:
    fleet = Fleet()
    walk(fleet, Random(seed), STEPS)
    fleet.pass_time(2.0)
    check(fleet)
    assert all(fleet.answers.values())


# Shows that the model reaches what it is to test.
def test_the_model_transfers_jobs_twice_at_most() -> None:
    fleet = Fleet()
    for number in range(12):
        fleet.submit_job("e1", f"j{number}", 0.9)
    for _ in range(30):
        for leader in LEADERS:
            for _ in range(12):
                fleet.deliver("e1", leader)
                fleet.deliver(leader, "e1")
        fleet.pass_time(0.05)
        check(fleet)
    fleet.pass_time(2.0)
    check(fleet)
    assert fleet.transfers > 6
    moves = [len(names) - 1 for names in fleet.offered.values()]
    assert max(moves) == MAX_TRANSFERS
    assert sum(answers == [None] for answers in fleet.answers.values()) >= 3


@pytest.mark.parametrize("repeats", [1, 3])
def test_offers_repeated_to_the_former_leader_start_nothing(repeats: int) -> None:
    fleet = Fleet()
    fleet.submit_job("e1", "j0", 0.9)
    fleet.submit_job("e1", "j1", 0.9)
    first = {number: names[0] for number, names in fleet.offered.items()}
    fleet.pass_time(0.35 * repeats)  # the offers are repeated, none has arrived
    for leader in set(first.values()):
        for _ in range(20):
            fleet.deliver("e1", leader)
    for leader in LEADERS:
        for _ in range(20):
            fleet.deliver(leader, "e1")
            fleet.deliver("e1", leader)
    fleet.pass_time(2.0)
    check(fleet)

"""Event-driven simulation of arrivals through the placement code of every host.

Workers queue tasks first come, first served. Frames and tasks have a fixed one-way
delay. There are no failures.
"""

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple

from poplarhill.configuration import Configuration
from poplarhill.types import JobSpec, TaskId, WorkerSpec
from poplarhill_dev.replay.workload import Arrival, Firm
from poplarhilld.peers.messages import Heartbeat, Message
from poplarhilld.placement import AllHealthyView, Placement

_DATA_CENTRES = 3
_LOCAL_DELAY_S = 0.0001
_TICK_S = 0.1
_HEARTBEAT_S = 1.0
_DEADLINE_S = 60.0
_MAX_DRAIN_S = 120.0


class FinishedJob(NamedTuple):
    """One job whose tasks have all finished.

    Attributes:
        arrival: The job.
        response_s: Time from arrival at the host until the last result, s.
    """

    arrival: Arrival
    response_s: float


class ReplayResult(NamedTuple):
    """Jobs and counts of a replay.

    Attributes:
        finished_jobs: Every job that finished.
        tasks: Number of tasks sent.
        frames: Number of frames between hosts while jobs arrived.
        peak_worker_tasks: Largest number of tasks on one worker at a time.
        refilled: Number of tasks that arrived when their worker had no free slot.
    """

    finished_jobs: list[FinishedJob]
    tasks: int
    frames: int
    peak_worker_tasks: int
    refilled: int


class _Worker:
    """Free slots of one worker and the tasks queued for them."""

    def __init__(self, spec: WorkerSpec) -> None:
        self.spec = spec
        self.free = spec.slots
        self.queue: deque[tuple[int, TaskId]] = deque()


class Fleet:
    """Hosts and workers of one replay.

    Args:
        firm: Network delays.
        configuration: Workers, policy and settings of the policy.
        hosts: Number of entry hosts.
        seed: Seed of the hosts' random choices.
        reports_free_slots: Whether workers report their free slots with results.
        make_placement: Factory of a host's placement, to try other implementations.
    """

    def __init__(
        self,
        firm: Firm,
        configuration: Configuration,
        hosts: int,
        seed: int,
        reports_free_slots: bool = True,
        make_placement: Callable[..., Placement] = Placement,
    ) -> None:
        self._firm = firm
        self._names = [f"h{n}" for n in range(hosts)]
        self._centres = [f"dc{n % _DATA_CENTRES}" for n in range(hosts)]
        self._hosts = [
            make_placement(
                configuration, Random(seed * 1000 + n), name, centre, self._names
            )
            for n, (name, centre) in enumerate(
                zip(self._names, self._centres, strict=True)
            )
        ]
        self._workers = {w.name: _Worker(w) for w in configuration.workers.values()}
        self._reports_free_slots = reports_free_slots
        self._random = Random(seed)
        self._view = AllHealthyView()
        self._heap: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = 0
        self._now = 0.0
        self._jobs: dict[str, Arrival] = {}
        self._remaining: dict[str, int] = {}
        self._finished: list[FinishedJob] = []
        self._tasks = self._frames = self._peak = self._refilled = 0

    def run(self, arrivals: list[Arrival]) -> ReplayResult:
        """Replay all arrivals until every job has finished or the drain time is up."""
        last = arrivals[-1].at
        for number, arrival in enumerate(arrivals):
            self._schedule(arrival.at, self._submit, f"j{number}", arrival)
        for host in range(len(self._hosts)):
            self._schedule(_TICK_S * host / len(self._hosts), self._tick, host, 0)
        frames = 0
        while self._heap and len(self._finished) < len(arrivals):
            self._now, _, call, arguments = heappop(self._heap)
            if self._now <= last:
                frames = self._frames
            elif self._now > last + _MAX_DRAIN_S:
                break
            call(*arguments)
        return ReplayResult(
            self._finished, self._tasks, frames, self._peak, self._refilled
        )

    def _schedule(self, at: float, call: Callable[..., None], *arguments: Any) -> None:
        self._sequence += 1
        heappush(self._heap, (at, self._sequence, call, arguments))

    def _submit(self, job_id: str, arrival: Arrival) -> None:
        host = arrival.host % len(self._hosts)
        self._jobs[job_id] = arrival
        self._remaining[job_id] = len(arrival.run_s)
        bodies = (b"",) * len(arrival.run_s)
        deadline = self._now + _DEADLINE_S
        spec = JobSpec(job_id, "booking", "default", bodies, deadline)
        self._hosts[host].enqueue(self._now, spec)
        self._place(host)

    def _tick(self, host: int, turn: int) -> None:
        placement = self._hosts[host]
        if len(self._hosts) > 1 and turn % round(_HEARTBEAT_S / _TICK_S) == 0:
            idle, waiting = placement.idle_slots, placement.waiting
            others = [n for n in range(len(self._hosts)) if n != host]
            peer = self._random.choice(others)
            self._send(host, peer, Heartbeat((), 0, idle, waiting))
        self._place(host)
        self._schedule(self._now + _TICK_S, self._tick, host, turn + 1)

    def _place(self, host: int) -> None:
        placement = self._hosts[host]
        for placed in placement.place(self._now, self._view):
            self._tasks += 1
            at = self._now + self._to_worker(host, placed.worker)
            self._schedule(at, self._start, placed.worker, host, placed.task)
        for peer, message in placement.take_messages():
            self._send(host, self._names.index(peer), message)

    def _send(self, host: int, peer: int, message: Message) -> None:
        self._frames += 1
        same_centre = self._centres[host] == self._centres[peer]
        at = self._now + (_LOCAL_DELAY_S if same_centre else self._firm.link_s)
        self._schedule(at, self._receive, peer, host, message)

    def _receive(self, host: int, sender: int, message: Message) -> None:
        self._hosts[host].receive(self._now, self._names[sender], message)
        self._place(host)

    def _start(self, name: str, host: int, task: TaskId) -> None:
        worker = self._workers[name]
        if not worker.free:
            self._refilled += 1
            worker.queue.append((host, task))
            load = worker.spec.slots + len(worker.queue)
            self._peak = max(self._peak, load)
            return
        worker.free -= 1
        self._peak = max(self._peak, worker.spec.slots - worker.free)
        run_s = self._jobs[task.job].run_s[task.index]
        self._schedule(self._now + run_s, self._finish, name, host, task)

    def _finish(self, name: str, host: int, task: TaskId) -> None:
        worker = self._workers[name]
        worker.free += 1
        if worker.queue:
            self._start(name, *worker.queue.popleft())
        at = self._now + self._to_worker(host, name)
        free_slots = (
            worker.free - len(worker.queue) if self._reports_free_slots else None
        )
        self._schedule(at, self._receive_result, name, host, task, free_slots)

    def _receive_result(
        self, name: str, host: int, task: TaskId, free_slots: int | None
    ) -> None:
        self._hosts[host].release(name, task)
        self._hosts[host].note_free_slots(self._now, name, free_slots)
        self._remaining[task.job] -= 1
        if not self._remaining[task.job]:
            arrival = self._jobs.pop(task.job)
            self._hosts[host].discard(task.job)
            self._finished.append(FinishedJob(arrival, self._now - arrival.at))
        self._place(host)

    def _to_worker(self, host: int, worker: str) -> float:
        same_centre = self._workers[worker].spec.data_centre == self._centres[host]
        return _LOCAL_DELAY_S if same_centre else self._firm.link_s

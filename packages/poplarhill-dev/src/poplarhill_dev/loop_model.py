"""A host's event loop as a queue: turns that handle all that is ready, at a cost.

Time is simulated, and the overload control of the daemon decides on each new job.
"""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random
from typing import NamedTuple

from poplarhilld.overload import OverloadControl

TICK_S = 0.05
_BACKGROUND_INTERVAL_S = 0.01
_EVENTS_AFTER_ARRIVAL = 3  # start, end of the run, report


class Costs(NamedTuple):
    """Processor time, s.

    Attributes:
        arrival: Of a job on its arrival, if it is accepted.
        later: Of each of the three later events of a job.
        refusal: Of a job that is refused.
        background: Of other work, per second.
    """

    arrival: float
    later: float
    refusal: float
    background: float = 0.0

    @property
    def capacity(self) -> float:
        """Jobs per second that the host can carry."""
        job_s = self.arrival + _EVENTS_AFTER_ARRIVAL * self.later
        return (1.0 - self.background) / job_s


class Result:
    """What became of the jobs of one run of the model.

    Attributes:
        served: When each job arrived that was answered in time, s.
        late: When each accepted job arrived that was answered too late, s.
        refused: Arrival, time of refusal and `Retry-After` of each refused job, s.
        shares: The accepted share at each turn, with the time.
        lines: Log lines, with the time.
        accepted_by_priority: Count of accepted jobs by priority.
    """

    def __init__(self) -> None:
        self.served: list[float] = []
        self.late: list[float] = []
        self.refused: list[tuple[float, float, float]] = []
        self.shares: list[tuple[float, float]] = []
        self.lines: list[tuple[float, NamedTuple]] = []
        self.accepted_by_priority: dict[int, int] = {}

    def served_per_s(self, begin_s: float, end_s: float) -> float:
        """Return the rate of the jobs that arrived in an interval and were served."""
        served = sum(begin_s <= at < end_s for at in self.served)
        return served / (end_s - begin_s)


class LoopModel:
    """The loop of one host, with one processor of its own.

    Args:
        costs: What the work takes.
        rate: Returns how many jobs arrive per second at a time; they do so at random.
        caller_timeout_s: How long a caller waits, s.
        run_s: Time that a job waits for its workers, s.
        priority: Returns the priority of the job of a number.
        controlled: Whether the decisions of the overload control are obeyed.
        seed: Seed of the arrivals.
    """

    def __init__(
        self,
        costs: Costs,
        rate: Callable[[float], float],
        caller_timeout_s: float = 1.5,
        run_s: float = 0.2,
        priority: Callable[[int], int] = lambda number: 0,
        controlled: bool = True,
        seed: int = 1,
    ) -> None:
        self._costs = costs
        self._rate = rate
        self._caller_timeout_s = caller_timeout_s
        self._run_s = run_s
        self._priority = priority
        self._controlled = controlled
        self._random = Random(seed)
        self._control = OverloadControl(0.0, 1.0)
        self._numbers = count()
        self._events: list[tuple[float, int, str, tuple]] = []
        self._now = self._processor_s = 0.0
        self._result = Result()

    def run(self, until_s: float, pauses: dict[float, float] | None = None) -> Result:
        """Run the loop and return what became of the jobs.

        Args:
            until_s: When to end, s.
            pauses: Lengths of pauses of the process by their beginning, s.
        """
        self._post_arrivals(until_s)
        pauses = dict(pauses or {})
        due = TICK_S
        self._control.expect_turn(due)
        while self._now < until_s:
            for begin in [begin for begin in pauses if begin <= self._now]:
                self._now += pauses.pop(begin)
            ready = []
            while self._events and self._events[0][0] <= self._now:
                ready.append(heapq.heappop(self._events))
            if not ready and due > self._now:
                self._now = min(due, self._events[0][0]) if self._events else due
                continue
            ticks = due <= self._now  # timers come after the input that is ready
            for _, _, kind, args in ready:
                self._spend(self._handle(kind, *args))
            if ticks:
                self._turn()
                due = self._now + TICK_S
                self._control.expect_turn(due)
        return self._result

    def _post_arrivals(self, until_s: float) -> None:
        at = 0.0
        for number in count():
            at += self._random.expovariate(self._rate(at))
            if at >= until_s:
                break
            self._post(at, "arrival", at, number)
        for step in range(int(until_s / _BACKGROUND_INTERVAL_S)):
            self._post(step * _BACKGROUND_INTERVAL_S, "background")

    def _post(self, at: float, kind: str, *args: float) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), kind, args))

    def _spend(self, cost_s: float) -> None:
        self._now += cost_s
        self._processor_s += cost_s

    def _turn(self) -> None:
        lines = self._control.note_turn(self._now, self._processor_s)
        self._result.lines.extend((self._now, line.decision) for line in lines)
        share = self._control.accepted_share(self._now)
        self._result.shares.append((self._now, share))

    def _handle(self, kind: str, *args: float) -> float:
        """Handle an event; return the processor time that it takes, s."""
        match kind:
            case "arrival":
                return self._arrive(*args)
            case "later":
                return self._continue(*args)
        return self._costs.background * _BACKGROUND_INTERVAL_S

    def _arrive(self, arrived: float, number: int) -> float:
        now, result, priority = self._now, self._result, self._priority(number)
        shed = self._control.find_refusal(now, priority)
        if shed is not None and self._controlled:
            result.refused.append((arrived, now, shed.retry_after_s))
            return self._costs.refusal
        counts = result.accepted_by_priority
        counts[priority] = counts.get(priority, 0) + 1
        left = _EVENTS_AFTER_ARRIVAL - 1
        self._post(now + self._costs.arrival, "later", arrived, left)
        return self._costs.arrival

    def _continue(self, arrived: float, left: int) -> float:
        end = self._now + self._costs.later
        if left:
            self._post(end + self._run_s / 2, "later", arrived, left - 1)
        elif end - arrived <= self._caller_timeout_s:
            self._result.served.append(arrived)
        else:
            self._result.late.append(arrived)
        return self._costs.later

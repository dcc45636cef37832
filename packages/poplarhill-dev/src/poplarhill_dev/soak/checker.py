"""Judges what callers and workers of a soak saw against the promises.

A trace is plain JSON; times are those of the machine's steady clock, in s. It may be
judged while it grows: a run whose end is not known counts as short. Its lists:
    jobs: What callers sent: `job`, `spec`, `tasks`, `at` (before it was sent).
    requests: Each time that one was sent: `job`, `host`, `life`, `sent`, `ended`,
        `status` (null without an answer), `state`, `left` (by the caller).
    probes: Requests for a route that only one version has: `host`, `life`,
        `sent`, `ended`, `status`, `version`.
    versions: `version`, `acked`.
    lives: Of hosts: `host`, `life`, `began`, `term`, `killed`, `ended`, `code`,
        `forced` (killed after its grace).
    worker_lives: `worker`, `life`, `ended` (when it was last surely at work).
    disturbed: `target` (a host, or `*`), `kind`, `begin`, `end`.
    runs: Lines of workers: `worker`, `life`, `at`, and `start`, `spec`, `cores` or
        `end`, `kind`.
    recovered: `host`, `after_s` (null if no job was served).
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from poplarhill_dev.trace import Violation

Trace = dict[str, list[dict[str, Any]]]

CONTACT_S = 3.0
ROOM_CORES = 16.0
_APPLY_S = 2.0
_ROLLBACK_S = 0.25
_LOSS_SLACK_S = 0.2
_GRACE_S = 6.0
_RECOVER_S = 12.0
_TERMINATED = -15  # code of a process that SIGTERM ended
_POLL_S = 0.1  # how late the soak may see the end of a process
_CLOCK_S = 0.001  # error of a worker's times after their conversion
_ROUNDING = 1e-6
_REFUSED = (429, 503)
_STATUSES = (200, 429, 502, 503, 504)
_ALL = "*"


class _Run(NamedTuple):
    task: str
    worker: str
    life: int
    begin: float
    end: float
    kind: str
    cores: float
    spec: str

    @property
    def job(self) -> str:
        return self.task.split(".")[0]


def check_soak(trace: Trace) -> list[Violation]:
    """Return every broken promise in a trace."""
    return [
        Violation(promise, detail)
        for promise, rule in _PROMISES.items()
        for detail in rule(trace)
    ]


def _runs(trace: Trace) -> list[_Run]:
    """Return all runs; one whose end nobody saw ends with its worker's life."""
    lives = {(e["worker"], e["life"]): e["ended"] for e in trace["worker_lives"]}
    begun: dict[tuple, dict] = {}
    runs = []
    for line in trace["runs"]:
        place = (line["worker"], line["life"])
        if "start" in line:
            begun[(*place, *line["start"])] = line
        else:
            start = begun.pop((*place, *line["end"]))
            runs.append(_run(start, line["at"], line["kind"]))
    for start in begun.values():
        ended = lives.get((start["worker"], start["life"]), start["at"])
        runs.append(_run(start, max(start["at"], ended), "lost"))
    return runs


def _run(start: dict, end: float, kind: str) -> _Run:
    task, _ = start["start"]
    place = (start["worker"], start["life"])
    return _Run(task, *place, start["at"], end, kind, start["cores"], start["spec"])


def _never_twice(trace: Trace) -> Iterator[str]:
    by_task = defaultdict(list)
    for run in _runs(trace):
        by_task[run.task].append(run)
    for task, runs in by_task.items():
        runs.sort(key=lambda run: run.begin)
        for number, run in enumerate(runs[1:], 1):
            before = max(runs[:number], key=lambda earlier: earlier.end)
            if run.begin < before.end - _CLOCK_S:
                yield (
                    f"{task} began on {run.worker} at {run.begin:.3f} and ran on "
                    f"{before.worker} until {before.end:.3f}"
                )


def _within_room(trace: Trace) -> Iterator[str]:
    by_life = defaultdict(list)
    for run in _runs(trace):
        by_life[run.worker, run.life].append((run.end, -run.cores))
        by_life[run.worker, run.life].append((run.begin, run.cores))
    for (worker, life), changes in by_life.items():
        cores = most = 0.0
        for _, change in sorted(changes):
            cores += change
            most = max(most, cores)
        if most > ROOM_CORES + _ROUNDING:
            yield f"{worker} in life {life} ran {most:g} cores"


def _only_what_was_sent(trace: Trace) -> Iterator[str]:
    jobs = {job["job"]: job for job in trace["jobs"]}
    for run in _runs(trace):
        job = jobs.get(run.job)
        index = int(run.task.split(".")[-1])
        if job is None or index >= job["tasks"] or run.spec != job["spec"]:
            yield f"{run.task} ran on {run.worker}, and no caller sent it so"
        elif run.begin < job["at"] - _CLOCK_S:
            yield f"{run.task} ran before it was sent"


def _not_run(trace: Trace) -> Iterator[str]:
    ran = {run.job for run in _runs(trace)}
    by_job = defaultdict(list)
    for request in trace["requests"]:
        by_job[request["job"]].append(request["status"])
    for job, statuses in by_job.items():
        if job in ran and all(status in _REFUSED for status in statuses):
            yield f"{job} ran, and its callers got only {statuses}"


def _completed(trace: Trace) -> Iterator[str]:
    jobs = {job["job"]: job for job in trace["jobs"]}
    done: dict[str, float] = {}
    for run in _runs(trace):
        if run.kind == "done":
            done[run.task] = min(run.end, done.get(run.task, run.end))
    for request in trace["requests"]:
        if request["state"] != "completed":
            continue
        job = request["job"]
        for index in range(jobs[job]["tasks"]):
            end = done.get(f"{job}.0.0.{index}")
            if end is None or end > request["ended"] + _CLOCK_S:
                yield f"{job} is called completed, and task {index} was not done"
                break


def _answers(trace: Trace) -> Iterator[str]:
    """Yield requests without an answer that no fault of their host explains."""
    begins = defaultdict(list)
    for run in _runs(trace):
        begins[run.job].append(run.begin)
    terms = {(e["host"], e["life"]): e["term"] for e in trace["lives"]}
    for request in [*trace["requests"], *trace["probes"]]:
        host, sent, ended = request["host"], request["sent"], request["ended"]
        what = request.get("job") or f"the question for version {request['version']}"
        if request.get("left") or _disturbed(
            trace, host, sent - CONTACT_S, ended, "kill", "pause"
        ):
            continue
        status = request["status"]
        if status in _STATUSES or (status == 404 and "version" in request):
            continue
        if status is not None:
            yield f"{host} answered {what} with {status}"
            continue
        term = terms[host, request["life"]]
        passed_on = any(
            sent <= begin <= ended for begin in begins[request.get("job", "")]
        )
        leaving = term is not None and term <= ended
        if not leaving or passed_on or ended - sent > _LOSS_SLACK_S:
            after = f", {sent - term:.3f} s after SIGTERM" if leaving else ""
            yield (
                f"{host} left {what} unanswered, sent at {sent:.3f}{after}, "
                f"broken off after {ended - sent:.3f} s"
            )


def _ends(trace: Trace) -> Iterator[str]:
    asked = {(p["host"], p["life"]) for p in [*trace["requests"], *trace["probes"]]}
    for life in trace["lives"]:
        # Until it reads its first request, SIGTERM may end a process at once.
        codes = (0,) if (life["host"], life["life"]) in asked else (0, _TERMINATED)
        name = f"{life['host']} in life {life['life']}"
        term, ended, code = life["term"], life["ended"], life["code"]
        if ended is None or life["killed"] is not None:
            continue
        if term is None:
            yield f"{name} ended by itself with code {code}"
        elif _disturbed(trace, life["host"], term - CONTACT_S, ended, "pause"):
            continue
        elif life["forced"] or ended - term > _GRACE_S + _POLL_S or code not in codes:
            yield f"{name} ended {ended - term:.3f} s after SIGTERM with code {code}"


def _in_force(trace: Trace) -> Iterator[str]:
    """Yield answers of hosts in touch by a version that should be replaced."""
    for probe in trace["probes"]:
        host, sent, version = probe["host"], probe["sent"], probe["version"]
        versions = [e for e in trace["versions"] if e["acked"] is not None]
        due = max(
            (e["version"] for e in versions if e["acked"] <= sent - _APPLY_S), default=0
        )
        newest = max(e["version"] for e in versions if e["sent"] <= probe["ended"])
        missing = version == due == newest and probe["status"] == 404
        dropped = version < due and probe["status"] == 200
        if not missing and not dropped:
            continue
        if not _disturbed(trace, host, sent - CONTACT_S, probe["ended"]):
            yield (
                f"{host} answered {probe['status']} for version {version} at "
                f"{sent:.3f}, when version {due} was due"
            )


def _never_back(trace: Trace) -> Iterator[str]:
    seen: dict[tuple, tuple[int, float]] = {}
    for probe in sorted(trace["probes"], key=lambda probe: probe["ended"]):
        place = (probe["host"], probe["life"])
        version, at = seen.get(place, (0, 0.0))
        older = probe["version"] < version and probe["status"] == 200
        gone = probe["version"] == version and probe["status"] == 404
        if gone:
            later = [e for e in trace["versions"] if e["version"] > version]
            gone = not any(e["sent"] <= probe["ended"] for e in later)
        if (older or gone) and probe["sent"] > at + _ROLLBACK_S:
            yield f"{place[0]} went back from version {version} at {probe['sent']:.3f}"
        if probe["status"] == 200 and probe["version"] > version:
            seen[place] = (probe["version"], probe["ended"])


def _recovered(trace: Trace) -> Iterator[str]:
    for entry in trace["recovered"]:
        after_s = entry["after_s"]
        if after_s is None or after_s > _RECOVER_S:
            yield f"{entry['host']} served no job within {_RECOVER_S:g} s: {after_s}"


def _disturbed(
    trace: Trace, host: str, begin: float, end: float, *kinds: str
) -> list[dict]:
    """Return the faults near a host in a span, of some kinds or of any."""
    return [
        fault
        for fault in trace["disturbed"]
        if fault["target"] in (host, _ALL)
        and (not kinds or fault["kind"] in kinds)
        and fault["begin"] <= end
        and (fault["end"] is None or fault["end"] >= begin)
    ]


_PROMISES: dict[str, Callable[[Trace], Iterator[str]]] = {
    "a task never runs twice at the same time": _never_twice,
    "a worker's room is never exceeded": _within_room,
    "only what a caller sent runs": _only_what_was_sent,
    "not run means no start": _not_run,
    "completed means that every task was done": _completed,
    "every request gets one whole answer": _answers,
    "a host ends by itself within its grace": _ends,
    "an accepted configuration is in force in time": _in_force,
    "a configuration never goes back": _never_back,
    "service is back after the faults": _recovered,
}

"""Checks the guarantees of the system against the trace of a soak.

A trace is plain JSON. Times are in seconds by the machine's monotonic clock. A
`life` counts the starts of a process. A trace may be checked while it still grows;
a run without a recorded end counts as having ended when it started, or with its
worker's life. Its lists:
    jobs: Jobs of callers: `job`, `spec`, `tasks`, `at` (before the job was sent).
    requests: Each attempt to submit a job: `job`, `host`, `life`, `sent`, `ended`,
        `status` (null without a response), `state`, `left` (whether the caller hung
        up early).
    probes: Requests for a route that only one configuration version has: `host`,
        `life`, `sent`, `ended`, `status`, `version`.
    versions: Published configuration versions: `version`, `sent`, `acked` (null
        until the store acknowledged it).
    lives: Lives of hosts: `host`, `life`, `term` (time of SIGTERM), `killed`,
        `ended`, `code` (exit code), `forced` (killed after its grace period).
    worker_lives: Lives of killed workers: `worker`, `life`, `ended` (the last time
        at which the worker is known to have run tasks).
    evacuations: Evacuations: `data_centre`, `machines` (the names that its workers
        have, followed by `-` and a number once they are renamed), `acked` (null until
        the store acknowledged it), `lifted` (when the lift was sent; null before).
    disturbed: Faults: `target` (a host, or `*` for all), `kind`, `begin`, `end`
        (null while the fault lasts).
    runs: Trace lines of workers: `worker`, `life`, `at`, and either `start`, `spec`,
        `cores` or `end`, `kind`.
    recovered: Recovery of each host after the last fault: `host`, `after_s` (null if
        the host served no job).
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from poplarhill_dev.trace import Violation

Trace = dict[str, list[dict[str, Any]]]

# A fault may still affect a host for this long after the fault ended.
FAULT_EFFECT_S = 3.0
WORKER_CORES = 16.0
# An acknowledged version must be in force on every undisturbed host within this time.
_APPLY_LIMIT_S = 2.0
# No task starts in an evacuated data centre after this time, plus the second one while
# hosts can't rely on the store or on each other.
_EVACUATION_LIMIT_S = 5.0
_UNSTABLE_LIMIT_S = 6.0
_ROLLBACK_TOLERANCE_S = 0.25
# A host that shuts down may leave a request unanswered if none of its tasks started
# and the request ended within this time after it was sent.
_MAX_UNANSWERED_S = 0.2
_GRACE_S = 6.0
_RECOVERY_S = 12.0
_SIGTERM_EXIT_CODE = -15  # of a process without a SIGTERM handler
_EXIT_POLL_S = 0.1  # delay until the soak notices that a process exited
_CLOCK_ERROR_S = 0.001  # error left after a worker's times are converted
_ROUNDING = 1e-6
_REFUSAL_STATUSES = (429, 503)
_ALLOWED_STATUSES = (200, 429, 502, 503, 504)
_ALL_HOSTS = "*"


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
    """Return every violated guarantee in a trace."""
    return [
        Violation(guarantee, detail)
        for guarantee, rule in _GUARANTEES.items()
        for detail in rule(trace)
    ]


def _runs(trace: Trace) -> list[_Run]:
    """Return all runs.

    A run without a recorded end ends with its worker's life, or at its start if that
    life has no recorded end.
    """
    lives = {(e["worker"], e["life"]): e["ended"] for e in trace["worker_lives"]}
    unfinished: dict[tuple, dict] = {}
    runs = []
    for line in trace["runs"]:
        process = (line["worker"], line["life"])
        if "start" in line:
            unfinished[(*process, *line["start"])] = line
        else:
            start = unfinished.pop((*process, *line["end"]))
            runs.append(_run(start, line["at"], line["kind"]))
    for start in unfinished.values():
        ended = lives.get((start["worker"], start["life"]), start["at"])
        runs.append(_run(start, max(start["at"], ended), "lost"))
    return runs


def _run(start: dict, end: float, kind: str) -> _Run:
    task, _ = start["start"]
    process = (start["worker"], start["life"])
    return _Run(task, *process, start["at"], end, kind, start["cores"], start["spec"])


def _overlapping_runs(trace: Trace) -> Iterator[str]:
    by_task = defaultdict(list)
    for run in _runs(trace):
        by_task[run.task].append(run)
    for task, runs in by_task.items():
        runs.sort(key=lambda run: run.begin)
        for number, run in enumerate(runs[1:], 1):
            before = max(runs[:number], key=lambda earlier: earlier.end)
            if run.begin < before.end - _CLOCK_ERROR_S:
                yield (
                    f"{task} began on {run.worker} at {run.begin:.3f} and ran on "
                    f"{before.worker} until {before.end:.3f}"
                )


def _overcommitted_workers(trace: Trace) -> Iterator[str]:
    by_life = defaultdict(list)
    for run in _runs(trace):
        by_life[run.worker, run.life].append((run.end, -run.cores))
        by_life[run.worker, run.life].append((run.begin, run.cores))
    for (worker, life), changes in by_life.items():
        cores = most = 0.0
        for _, change in sorted(changes):
            cores += change
            most = max(most, cores)
        if most > WORKER_CORES + _ROUNDING:
            yield f"{worker} in life {life} ran tasks of {most:g} cores"


def _runs_after_evacuation(trace: Trace) -> Iterator[str]:
    for entry in trace["evacuations"]:
        if entry["acked"] is None:
            continue
        begin = entry["acked"] + _EVACUATION_LIMIT_S
        end = float("inf") if entry["lifted"] is None else entry["lifted"]
        for run in _runs(trace):
            if run.worker.split("-")[0] not in entry["machines"]:
                continue
            since = run.begin - _UNSTABLE_LIMIT_S
            if begin < run.begin < end and not any(
                _overlaps(fault, since, run.begin, "store", "link", "pause")
                for fault in trace["disturbed"]
            ):
                yield (
                    f"{run.task} started on {run.worker} "
                    f"{run.begin - entry['acked']:.3f} s after {entry['data_centre']} "
                    "was evacuated"
                )


def _unsolicited_runs(trace: Trace) -> Iterator[str]:
    jobs = {job["job"]: job for job in trace["jobs"]}
    for run in _runs(trace):
        job = jobs.get(run.job)
        index = int(run.task.split(".")[-1])
        if job is None or index >= job["tasks"] or run.spec != job["spec"]:
            yield f"{run.task} ran on {run.worker}, but no caller sent such a task"
        elif run.begin < job["at"] - _CLOCK_ERROR_S:
            yield f"{run.task} ran before it was sent"


def _runs_of_refused_jobs(trace: Trace) -> Iterator[str]:
    ran = {run.job for run in _runs(trace)}
    by_job = defaultdict(list)
    for request in trace["requests"]:
        by_job[request["job"]].append(request["status"])
    for job, statuses in by_job.items():
        if job in ran and all(status in _REFUSAL_STATUSES for status in statuses):
            yield f"{job} ran, but its callers got only {statuses}"


def _incomplete_jobs(trace: Trace) -> Iterator[str]:
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
            if end is None or end > request["ended"] + _CLOCK_ERROR_S:
                yield f"{job} was reported completed, but task {index} was not done"
                break


def _unanswered_requests(trace: Trace) -> Iterator[str]:
    """Yield requests that no fault excuses and that got no valid response."""
    begins = defaultdict(list)
    for run in _runs(trace):
        begins[run.job].append(run.begin)
    terms = {(e["host"], e["life"]): e["term"] for e in trace["lives"]}
    for request in [*trace["requests"], *trace["probes"]]:
        host, sent, ended = request["host"], request["sent"], request["ended"]
        what = request.get("job") or f"the probe of version {request['version']}"
        if request.get("left") or _faults_near(
            trace, host, sent - FAULT_EFFECT_S, ended, "kill", "pause"
        ):
            continue
        status = request["status"]
        if status in _ALLOWED_STATUSES or (status == 404 and "version" in request):
            continue
        if status is not None:
            yield f"{host} answered {what} with {status}"
            continue
        term = terms[host, request["life"]]
        started = any(
            sent <= begin <= ended for begin in begins[request.get("job", "")]
        )
        leaving = term is not None and term <= ended
        if not leaving or started or ended - sent > _MAX_UNANSWERED_S:
            after = f", {sent - term:.3f} s after SIGTERM" if leaving else ""
            yield (
                f"{host} did not answer {what}, sent at {sent:.3f}{after}; "
                f"the request ended after {ended - sent:.3f} s"
            )


def _bad_exits(trace: Trace) -> Iterator[str]:
    contacted = {(p["host"], p["life"]) for p in [*trace["requests"], *trace["probes"]]}
    for life in trace["lives"]:
        # A host that has served no request may not have its SIGTERM handler yet.
        codes = (
            (0,)
            if (life["host"], life["life"]) in contacted
            else (0, _SIGTERM_EXIT_CODE)
        )
        name = f"{life['host']} in life {life['life']}"
        term, ended, code = life["term"], life["ended"], life["code"]
        if ended is None or life["killed"] is not None:
            continue
        if term is None:
            yield f"{name} ended by itself with code {code}"
        elif _faults_near(trace, life["host"], term - FAULT_EFFECT_S, ended, "pause"):
            continue
        elif (
            life["forced"]
            or ended - term > _GRACE_S + _EXIT_POLL_S
            or code not in codes
        ):
            yield f"{name} ended {ended - term:.3f} s after SIGTERM with code {code}"


def _outdated_answers(trace: Trace) -> Iterator[str]:
    """Yield answers of undisturbed hosts that come from an outdated version."""
    for probe in trace["probes"]:
        host, sent, version = probe["host"], probe["sent"], probe["version"]
        versions = [e for e in trace["versions"] if e["acked"] is not None]
        due = max(
            (e["version"] for e in versions if e["acked"] <= sent - _APPLY_LIMIT_S),
            default=0,
        )
        newest = max(e["version"] for e in versions if e["sent"] <= probe["ended"])
        missing = version == due == newest and probe["status"] == 404
        dropped = version < due and probe["status"] == 200
        if not missing and not dropped:
            continue
        if not _faults_near(trace, host, sent - FAULT_EFFECT_S, probe["ended"]):
            yield (
                f"{host} answered {probe['status']} for version {version} at "
                f"{sent:.3f}, when version {due} had to be in force"
            )


def _version_rollbacks(trace: Trace) -> Iterator[str]:
    seen: dict[tuple, tuple[int, float]] = {}
    for probe in sorted(trace["probes"], key=lambda probe: probe["ended"]):
        process = (probe["host"], probe["life"])
        version, at = seen.get(process, (0, 0.0))
        older = probe["version"] < version and probe["status"] == 200
        gone = probe["version"] == version and probe["status"] == 404
        if gone:
            later = [e for e in trace["versions"] if e["version"] > version]
            gone = not any(e["sent"] <= probe["ended"] for e in later)
        if (older or gone) and probe["sent"] > at + _ROLLBACK_TOLERANCE_S:
            yield (
                f"{process[0]} went back from version {version} at {probe['sent']:.3f}"
            )
        if probe["status"] == 200 and probe["version"] > version:
            seen[process] = (probe["version"], probe["ended"])


def _slow_recoveries(trace: Trace) -> Iterator[str]:
    for entry in trace["recovered"]:
        after_s = entry["after_s"]
        if after_s is None or after_s > _RECOVERY_S:
            yield f"{entry['host']} served no job within {_RECOVERY_S:g} s: {after_s}"


def _faults_near(
    trace: Trace, host: str, begin: float, end: float, *kinds: str
) -> list[dict]:
    """Return the faults that affected a host in a time span.

    Args:
        trace: The trace.
        host: The host.
        begin: Begin of the span, s.
        end: End of the span, s.
        *kinds: Kinds of faults to return; every kind if none is given.
    """
    return [
        fault
        for fault in trace["disturbed"]
        if fault["target"] in (host, _ALL_HOSTS)
        and _overlaps(fault, begin, end, *kinds)
    ]


def _overlaps(fault: dict, begin: float, end: float, *kinds: str) -> bool:
    """Return whether a fault of one of some kinds was in effect in a time span."""
    return (
        (not kinds or fault["kind"] in kinds)
        and fault["begin"] <= end
        and (fault["end"] is None or fault["end"] >= begin)
    )


_GUARANTEES: dict[str, Callable[[Trace], Iterator[str]]] = {
    "a task never runs twice at the same time": _overlapping_runs,
    "a worker's room is never exceeded": _overcommitted_workers,
    "no task starts in an evacuated data centre": _runs_after_evacuation,
    "only what a caller sent runs": _unsolicited_runs,
    "not run means no start": _runs_of_refused_jobs,
    "completed means that every task was done": _incomplete_jobs,
    "every request gets one whole answer": _unanswered_requests,
    "a host ends by itself within its grace": _bad_exits,
    "an accepted configuration is in force in time": _outdated_answers,
    "a configuration never goes back": _version_rollbacks,
    "service is back after the faults": _slow_recoveries,
}

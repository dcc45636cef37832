"""Runs the cases of an experiment, each on a fleet of its own."""

from collections import Counter
from pathlib import Path

import click
import msgspec
from prometheus_client.parser import text_string_to_metric_families

from poplarhill_dev.experiment.bounds import ORDERS, central_response_times
from poplarhill_dev.experiment.config import Case, Experiment, cases
from poplarhill_dev.experiment.plot import plot_results
from poplarhill_dev.experiment.recovery import answers_name, recovery_table
from poplarhill_dev.experiment.report import Bound, Results, table
from poplarhill_dev.experiment.submit import submit
from poplarhill_dev.experiment.summary import (
    Messages,
    Summary,
    slowdown_of,
    summarize,
)
from poplarhill_dev.experiment.workload import MIXES, PlannedJob, plan_jobs
from poplarhill_dev.fleet import Fleet, get_page
from poplarhill_dev.trace import check, record
from poplarhill_dev.trace.checker import Trace

_TASKS_SENT = "poplarhill_tasks_sent"
_MESSAGES = "poplarhill_messages"


def run_experiment(file: Path, out: Path) -> Results:
    """Run every case of an experiment and write its results.

    Args:
        file: The experiment file.
        out: Directory for the results of all experiments.
    """
    experiment = Experiment.from_file(file)
    directory = out / experiment.name
    directory.mkdir(parents=True, exist_ok=True)
    results = Results(experiment)
    seen: set[tuple[str, float, int]] = set()
    for case in cases(experiment):
        jobs = plan_jobs(experiment, case)
        if (case.firm, case.load, case.seed) not in seen:
            seen.add((case.firm, case.load, case.seed))
            results.bounds += _bounds(experiment, case, jobs)
        results.summaries.append(_run_case(experiment, case, jobs, directory))
        (directory / "results.json").write_bytes(msgspec.json.encode(results))
    text = (
        table(results) + "\n" + recovery_table(experiment, directory, cases(experiment))
    )
    (directory / "table.md").write_text(text)
    plot_results(results, directory / "plot.png")
    click.echo(text)
    return results


def _run_case(
    experiment: Experiment, case: Case, jobs: list[PlannedJob], directory: Path
) -> Summary:
    click.echo(f"{case.firm} at {case.load:g}, seed {case.seed}: {case.policy}")
    fleet = Fleet.start(
        experiment.hosts,
        experiment.workers,
        experiment.policies[case.policy],
        experiment.worker_processes,
        MIXES[case.firm].between_centres_s if experiment.relay else None,
    )
    try:
        answers = submit(
            fleet, jobs, experiment.faults, processes=experiment.load_processes
        )
        trace = record(fleet, answers)
        messages = _messages(fleet, len(trace["starts"]))
    finally:
        fleet.stop()
    fleet.remove_files()
    (directory / answers_name(case)).write_bytes(msgspec.json.encode(answers))
    violations = check(trace)
    if violations:
        _save_trace(trace, case, directory)
    return summarize(case, answers, messages, violations)


def _save_trace(trace: Trace, case: Case, directory: Path) -> None:
    """Write a trace with violations to the results for inspection."""
    name = f"trace-{case.firm}-{case.load:g}-{case.seed}-{case.policy}.json"
    (directory / name).write_bytes(msgspec.json.encode(trace))


def _messages(fleet: Fleet, tasks_started: int) -> Messages:
    """Return the messages counted by the daemons that still run."""
    sent = 0
    others: Counter[str] = Counter()
    for daemon in fleet.daemons():
        if daemon.handle.poll() is not None:
            continue
        page = get_page(daemon.port, "/metrics").decode()
        for family in text_string_to_metric_families(page):
            for sample in family.samples:
                if sample.name == f"{_TASKS_SENT}_total":
                    sent += int(sample.value)
                if sample.name == f"{_MESSAGES}_total":
                    others[sample.labels["kind"]] += int(sample.value)
    return Messages(sent, tasks_started, dict(others))


def _bounds(experiment: Experiment, case: Case, jobs: list[PlannedJob]) -> list[Bound]:
    slots = experiment.workers * experiment.slots
    bounds = []
    for name, order in ORDERS.items():
        responses = central_response_times(jobs, slots, order)
        slowdowns = [(len(j.run_s), responses[j.name] / j.longest_s) for j in jobs]
        bounds.append(
            Bound(name, case.firm, case.load, case.seed, slowdown_of(slowdowns))
        )
    return bounds

"""Results of an experiment and their table."""

import msgspec

from poplarhill_dev.experiment.config import Experiment
from poplarhill_dev.experiment.summary import Slowdown, Summary

_HEADER = (
    "| firm | load | seed | policy | jobs | whole | goodput | p50 | p99 | p99.9 "
    "| large p99 | messages a task | failures | late p99 ms |"
)
_SEPARATOR = "|" + "---|" * 14


class Bound(msgspec.Struct):
    """Slowdown of a simulated central queue for the same jobs.

    Attributes:
        name: Order of the queue.
        firm: Name of the job mix.
        load: Average fraction of the fleet's slots that are busy.
        seed: Seed of the arrivals.
        slowdown: Percentiles over all jobs.
    """

    name: str
    firm: str
    load: float
    seed: int
    slowdown: Slowdown | None


class Results(msgspec.Struct):
    """Results of an experiment.

    Attributes:
        experiment: The experiment as configured.
        summaries: Figures of each run.
        bounds: Slowdowns of central queues for the same jobs.
    """

    experiment: Experiment
    summaries: list[Summary] = []
    bounds: list[Bound] = []


def table(results: Results) -> str:
    """Return a Markdown table of every run and bound."""
    lines = [_HEADER, _SEPARATOR]
    for bound in results.bounds:
        cells = [bound.firm, f"{bound.load:g}", str(bound.seed), bound.name]
        cells += ["", "", "", *_slowdown_cells(bound.slowdown), "0", "", ""]
        lines.append(_row(cells))
    lines += [_row(_summary_cells(summary)) for summary in results.summaries]
    return "\n".join(lines) + "\n"


def _summary_cells(summary: Summary) -> list[str]:
    case = summary.case
    failures = ", ".join(f"{k} {n}" for k, n in sorted(summary.failures.items()))
    if summary.wrong:
        failures += f", WRONG {summary.wrong}"
    if summary.violations:
        failures += f", VIOLATIONS {len(summary.violations)}"
    late = f"{summary.late_p99_s * 1000:.1f}"
    if summary.load_was_late:
        late += " (high)"
    return [
        case.firm,
        f"{case.load:g}",
        str(case.seed),
        case.policy,
        str(summary.jobs),
        str(summary.whole),
        f"{summary.goodput:.3f}",
        *_slowdown_cells(summary.slowdown),
        f"{summary.messages:.3f}",
        failures,
        late,
    ]


def _slowdown_cells(slowdown: Slowdown | None) -> list[str]:
    if slowdown is None:
        return [""] * 4
    return [f"{value:.2f}" for value in slowdown]


def _row(cells: list[str]) -> str:
    return "| " + " | ".join(cells) + " |"

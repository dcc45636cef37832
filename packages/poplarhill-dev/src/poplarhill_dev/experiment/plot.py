"""Plots slowdown and messages of each policy of an experiment."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from poplarhill_dev.experiment.report import Results  # noqa: E402


def plot_results(results: Results, path: Path) -> None:
    """Plot p99 slowdown and messages per task against load, one line per policy."""
    figure, (slowdown_axes, message_axes) = pyplot.subplots(1, 2, figsize=(12, 5))
    for label, points in sorted(_slowdown_lines(results).items()):
        slowdown_axes.plot(*zip(*sorted(points), strict=True), marker="o", label=label)
    for label, points in sorted(_message_lines(results).items()):
        message_axes.plot(*zip(*sorted(points), strict=True), marker="o", label=label)
    slowdown_axes.set(title="p99 slowdown", xlabel="load", yscale="log")
    message_axes.set(title="messages per task, excluding two per job", xlabel="load")
    slowdown_axes.legend(fontsize="small")
    figure.suptitle(results.experiment.name)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


Lines = dict[str, list[tuple[float, float]]]


def _slowdown_lines(results: Results) -> Lines:
    lines: Lines = {}
    for bound in results.bounds:
        if bound.slowdown is not None:
            label = f"{bound.firm}: {bound.name}"
            lines.setdefault(label, []).append((bound.load, bound.slowdown.p99))
    for summary in results.summaries:
        if summary.slowdown is not None:
            label = f"{summary.case.firm}: {summary.case.policy}"
            point = (summary.case.load, summary.slowdown.p99)
            lines.setdefault(label, []).append(point)
    return lines


def _message_lines(results: Results) -> Lines:
    lines: Lines = {}
    for summary in results.summaries:
        label = f"{summary.case.firm}: {summary.case.policy}"
        lines.setdefault(label, []).append((summary.case.load, summary.messages))
    return lines

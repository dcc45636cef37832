"""A plot of slowdown and messages for each policy of an experiment."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from poplarhill_dev.experiment.report import Results  # noqa: E402


def plot_results(results: Results, path: Path) -> None:
    """Draw p99 slowdown and messages a task by load, one line a policy."""
    figure, (slow, sent) = pyplot.subplots(1, 2, figsize=(12, 5))
    for label, points in sorted(_slowdown_lines(results).items()):
        slow.plot(*zip(*sorted(points), strict=True), marker="o", label=label)
    for label, points in sorted(_message_lines(results).items()):
        sent.plot(*zip(*sorted(points), strict=True), marker="o", label=label)
    slow.set(title="p99 slowdown", xlabel="load", yscale="log")
    sent.set(title="messages a task, two a job apart", xlabel="load")
    slow.legend(fontsize="small")
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

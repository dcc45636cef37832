"""The tool that measures the processor time of an entry host."""

from poplarhill_platform_dev.costs import CostsOptions, show_costs


# Guards against costs that are computed from jobs that were refused or never ended.
def test_costs_are_measured_on_completed_jobs(capsys):
    show_costs(CostsOptions(2, 2, rate=40.0, run_s=0.01, seconds=0.5))
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 5
    assert lines[1].endswith("20 of 20 completed")
    assert "us per task" in lines[-1]

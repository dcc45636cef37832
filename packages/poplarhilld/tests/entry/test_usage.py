"""The report of what an entry host used: counts and processor time of an interval."""

from poplarhilld.entry.usage import UsageMeter


# Guards against counts of the whole life of a process, which hide what it does now.
def test_each_report_covers_the_time_since_the_last_one() -> None:
    meter = UsageMeter(100.0)
    meter.heartbeats += 5
    meter.orders += 2
    first = meter.report(110.0, 0.5, led_workers=60, jobs=3)
    assert first.interval_s == 10.0
    assert (first.heartbeats, first.frames, first.orders) == (5, 0, 2)
    assert (first.processor_s, first.processor_total_s) == (0.5, 0.5)
    assert (first.led_workers, first.jobs) == (60, 3)
    meter.frames += 1
    second = meter.report(115.0, 0.75, led_workers=0, jobs=0)
    assert second.interval_s == 5.0
    assert (second.heartbeats, second.frames, second.orders) == (0, 1, 0)
    assert (second.processor_s, second.processor_total_s) == (0.25, 0.75)

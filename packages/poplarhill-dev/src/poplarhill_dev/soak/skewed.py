"""Runs an entry host with a wall clock offset: `skewed OFFSET_S --settings FILE`."""

import runpy
import sys
import time


def _skew(offset_s: float) -> None:
    true_time = time.time
    time.time = lambda: true_time() + offset_s


if __name__ == "__main__":
    _skew(float(sys.argv.pop(1)))
    runpy.run_module("poplarhill_platform", run_name="__main__", alter_sys=True)

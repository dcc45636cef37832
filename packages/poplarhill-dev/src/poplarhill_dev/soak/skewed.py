"""Runs an entry host whose time of day is off: `skewed OFFSET_S --settings FILE`."""

import sys
import time

from poplarhill_platform.cli import main


def _skew(offset_s: float) -> None:
    true_time = time.time
    time.time = lambda: true_time() + offset_s


if __name__ == "__main__":
    _skew(float(sys.argv.pop(1)))
    main()

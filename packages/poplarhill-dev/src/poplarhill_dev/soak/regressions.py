"""Every seed that ever failed, and why."""

from typing import NamedTuple

from poplarhill_dev.soak.run import Soak


class Regression(NamedTuple):
    """A soak that once broke a promise, and the cause."""

    soak: Soak
    cause: str


REGRESSIONS = (
    Regression(
        Soak(3, seconds=4.0),
        "a crashed worker's lapse freed runs of the same number on other workers",
    ),
    Regression(
        Soak(5, seconds=10.0),
        "as seed 3, with a worker whose answers were held back",
    ),
    Regression(
        Soak(22, seconds=10.0),
        "each silent connection to the store cost a time-out of its own",
    ),
    Regression(
        Soak(23, seconds=18.0),
        "heartbeats of a host were ignored after its clock was set back; a job from "
        "another leader did not wait for the workers that were that leader's",
    ),
    Regression(
        Soak(68, seconds=4.0),
        "an offer that was held back came after its job was refused, and was taken",
    ),
    Regression(
        Soak(78),
        "SIGHUP ended a host that was still importing its modules; 79 and 424 too",
    ),
)

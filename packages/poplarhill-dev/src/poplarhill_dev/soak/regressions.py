"""Every soak that ever failed, with its cause."""

from typing import NamedTuple

from poplarhill_dev.soak.run import Soak


class Regression(NamedTuple):
    """A soak that once violated a guarantee, and the cause."""

    soak: Soak
    cause: str


REGRESSIONS = (
    Regression(
        Soak(3, seconds=4.0),
        "expiry of a crashed worker's lease freed runs of equal number elsewhere",
    ),
    Regression(
        Soak(5, seconds=10.0),
        "as seed 3, with a worker whose answers were delayed",
    ),
    Regression(
        Soak(22, seconds=10.0),
        "each unresponsive connection to the store took a full timeout",
    ),
    Regression(
        Soak(23, seconds=18.0),
        "heartbeats of a host were ignored after its clock was set back; a job from "
        "another leader did not wait until that leader's workers were released",
    ),
    Regression(
        Soak(68, seconds=4.0),
        "a delayed job offer arrived after its job was refused, and was accepted",
    ),
    Regression(
        Soak(78),
        "SIGHUP ended a host that was still importing its modules; 79 and 424 too",
    ),
)

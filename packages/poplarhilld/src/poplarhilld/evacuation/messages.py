"""Evacuations as hosts exchange them, and the log lines on them."""

from typing import NamedTuple


class Evacuation(NamedTuple):
    """A data centre that an operator has evacuated.

    Attributes:
        data_centre: Name of the data centre.
        version: Offset of the operator's record in the store.
    """

    data_centre: str
    version: int


class Evacuations(NamedTuple):
    """The evacuations in force after the records of the store up to an offset.

    Two of them are compared by `end` alone: the one with the higher end includes every
    record that the other one does.

    Attributes:
        end: Offset of the first record that is not included.
        in_force: All evacuations that those records leave in force.
    """

    end: int = 0
    in_force: tuple[Evacuation, ...] = ()


class EvacuationStarted(NamedTuple):
    """Log line: from now on this host starts no task in a data centre.

    Attributes:
        data_centre: The data centre.
        version: Offset of the operator's record; with the product's own configuration
            log, the version of the configuration.
        source: `store`, `log`, or the name of the host that reported it.
    """

    data_centre: str
    version: int
    source: str


class EvacuationEnded(NamedTuple):
    """Log line: from now on this host may start tasks in a data centre again.

    Attributes:
        data_centre: The data centre.
        version: Offset of the newest record that this host takes into account; with
            the product's own configuration log, the version of the configuration.
        source: `store`, `log`, or the name of the host that reported it.
    """

    data_centre: str
    version: int
    source: str

"""The plan of a relay process, and the faults that can be set on it."""

import msgspec


class Route(msgspec.Struct):
    """A port of the relay and the target of its connections.

    Attributes:
        port: Port that the relay listens on.
        host: IP address of the target.
        target: Port of the target.
        place: Data centre of the target, or its name if the plan has places.
    """

    port: int
    host: str
    target: int
    place: str


class Cut(msgspec.Struct, frozen=True):
    """A cut between a data centre and all others, during which bytes are held back.

    Attributes:
        data_centre: The data centre.
        direction: Which bytes are held back: `in`, `out` or `both`.
    """

    data_centre: str
    direction: str = "both"


class LinkFault(msgspec.Struct, frozen=True):
    """A fault of the link from one place to another; an empty name is any place.

    Attributes:
        source: Place of the sender.
        target: Place of the receiver.
        held: Whether bytes are held back while the fault lasts.
        delay_s: Delay in addition to the relay's own, s.
    """

    source: str = ""
    target: str = ""
    held: bool = False
    delay_s: float = 0.0

    def covers(self, link: tuple[str, str]) -> bool:
        """Return whether it affects the link from one place to another."""
        source, target = link
        return self.source in ("", source) and self.target in ("", target)


class Break(msgspec.Struct, frozen=True):
    """A fault that affects the connections of a place that are open now.

    Attributes:
        place: The place.
        silent: Whether they stay open but forward nothing any more; otherwise they are
            reset.
    """

    place: str
    silent: bool = False


class RelayPlan(msgspec.Struct):
    """Settings of a relay process.

    Attributes:
        control: Port of its HTTP interface; PUT /cuts sets the cuts in force,
            PUT /faults the faults of links, PUT /breaks breaks open connections.
        delay_s: One-way delay between data centres, s.
        routes: Its routes.
        places: Names of places by IP address, to tell hosts of a data centre apart.
    """

    control: int
    delay_s: float
    routes: list[Route]
    places: dict[str, str] = {}

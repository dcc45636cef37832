"""What a relay process does, and the cuts that it is told of."""

import msgspec


class Route(msgspec.Struct):
    """A port of the relay and where it leads.

    Attributes:
        port: Port that the relay listens on.
        host: IP address of the target.
        target: Port of the target.
        place: Data centre of the target, or its name in a fleet with places.
    """

    port: int
    host: str
    target: int
    place: str


class Cut(msgspec.Struct, frozen=True):
    """A data centre cut off: bytes `in`, `out` or `both` are held back."""

    data_centre: str
    direction: str = "both"


class LinkFault(msgspec.Struct, frozen=True):
    """What befalls bytes from one place to another; an empty name is any place.

    Attributes:
        source: Place that sends.
        target: Place that receives.
        held: Whether bytes are held back while the fault lasts.
        delay_s: Further delay, s.
    """

    source: str = ""
    target: str = ""
    held: bool = False
    delay_s: float = 0.0

    def covers(self, way: tuple[str, str]) -> bool:
        """Return whether bytes on their way from one place to another meet it."""
        source, target = way
        return self.source in ("", source) and self.target in ("", target)


class Break(msgspec.Struct, frozen=True):
    """What befalls the open connections of a place, once.

    Attributes:
        place: The place.
        silent: Whether they pass nothing any more; they are reset otherwise.
    """

    place: str
    silent: bool = False


class RelayPlan(msgspec.Struct):
    """What a relay process does.

    Attributes:
        control: Port of its HTTP interface; PUT /cuts sets the cuts in force,
            PUT /faults the faults of links, PUT /breaks breaks open connections.
        delay_s: One-way delay between data centres, s.
        routes: Its routes.
        places: Names of places by IP address, where data centres are too coarse.
    """

    control: int
    delay_s: float
    routes: list[Route]
    places: dict[str, str] = {}

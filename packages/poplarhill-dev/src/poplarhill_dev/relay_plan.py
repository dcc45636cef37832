"""What a relay process does, and the cuts that it is told of."""

import msgspec


class Route(msgspec.Struct):
    """A port of the relay and where it leads.

    Attributes:
        port: Port that the relay listens on.
        host: IP address of the target.
        target: Port of the target.
        data_centre: Data centre of the target.
    """

    port: int
    host: str
    target: int
    data_centre: str


class Cut(msgspec.Struct, frozen=True):
    """A data centre cut off: bytes `in`, `out` or `both` are held back."""

    data_centre: str
    direction: str = "both"


class RelayPlan(msgspec.Struct):
    """What a relay process does.

    Attributes:
        control: Port of its HTTP interface; PUT /cuts sets the cuts in force.
        delay_s: One-way delay between data centres, s.
        routes: Its routes.
    """

    control: int
    delay_s: float
    routes: list[Route]

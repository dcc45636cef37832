"""Who an entry host is, as its decisions need to know."""

from typing import NamedTuple

from poplarhill.types import Address
from poplarhilld.settings import Settings


class Identity(NamedTuple):
    """One run of one entry host.

    Attributes:
        name: Its name, unique in the fleet.
        data_centre: Data centre that it stands in.
        address: Where peers reach it.
        incarnation: Start time, ms since the epoch; rises with each start.
        seeds: Entry hosts known at start, by name.
        log_retention_s: Shortest time that the platform's log keeps records, s.
    """

    name: str
    data_centre: str
    address: Address
    incarnation: int
    seeds: dict[str, Address]
    log_retention_s: float = 3600.0

    @classmethod
    def from_config(cls, settings: Settings, incarnation: int) -> "Identity":
        """Return the identity that the settings describe."""
        return cls(
            name=settings.name,
            data_centre=settings.data_centre,
            address=settings.advertise or settings.peer_listen,
            incarnation=incarnation,
            seeds=settings.peers,
            log_retention_s=settings.log_retention_s,
        )

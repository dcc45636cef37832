"""The identity of an entry host."""

from typing import NamedTuple

from poplarhill.types import Address
from poplarhilld.settings import Settings


class Identity(NamedTuple):
    """Identifies one run of an entry host.

    Attributes:
        name: Name of the host, unique in the fleet.
        data_centre: Data centre of the host.
        address: Address at which peers reach it.
        incarnation: Start time, ms since the epoch; it rises with each start.
        seeds: Addresses of the entry hosts known at start, by name.
        log_retention_s: Minimum time for which the platform's log keeps records, s.
    """

    name: str
    data_centre: str
    address: Address
    incarnation: int
    seeds: dict[str, Address]
    log_retention_s: float = 3600.0

    @classmethod
    def from_config(cls, settings: Settings, incarnation: int) -> "Identity":
        """Return the identity of a host with these settings."""
        return cls(
            name=settings.name,
            data_centre=settings.data_centre,
            address=settings.advertise or settings.peer_listen,
            incarnation=incarnation,
            seeds=settings.peers,
            log_retention_s=settings.log_retention_s,
        )

"""Who an entry host is, as its decisions need to know."""

from typing import NamedTuple

from poplarhilld.settings import Address, Settings


class Identity(NamedTuple):
    """One run of one entry host.

    Attributes:
        name: Its name, unique in the fleet.
        data_centre: Data centre that it stands in.
        address: Where peers reach it.
        incarnation: Start time, ms since the epoch; rises with each start.
        seeds: Entry hosts known at start, by name.
    """

    name: str
    data_centre: str
    address: Address
    incarnation: int
    seeds: dict[str, Address]

    @classmethod
    def from_config(cls, settings: Settings, incarnation: int) -> "Identity":
        """Return the identity that the settings describe."""
        return cls(
            name=settings.name,
            data_centre=settings.data_centre,
            address=settings.peer_listen,
            incarnation=incarnation,
            seeds=settings.peers,
        )

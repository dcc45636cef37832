"""What an entry host asks of its surroundings; adapters implement it."""

from collections.abc import Mapping
from typing import Protocol

from poplarhill.types import Address
from poplarhilld.catalogue import Catalogue, WorkerEntry
from poplarhilld.leading import Order
from poplarhilld.leases import LeaseReply, OrderReply, Renewal, RenewalFailure, Run


class UnavailableError(Exception):
    """The platform did not do what it was asked.

    Args:
        detail: What happened.
    """


class WorkerPort(Protocol):
    """Orders to workers."""

    async def renew(
        self, worker: WorkerEntry, renewal: Renewal
    ) -> LeaseReply | RenewalFailure:
        """Renew the lease on a worker and return its state."""

    async def start(self, worker: WorkerEntry, order: Order) -> OrderReply:
        """Tell a worker to start a run."""

    async def stop(self, worker: WorkerEntry, run: Run, token: int) -> bool:
        """Tell a worker to stop a run; return whether it answered."""

    async def close_idle_connections(self) -> None:
        """Close connections that are not used any more."""

    async def close(self) -> None:
        """Close every connection."""


class Directory(Protocol):
    """What the platform's store knows."""

    async def next_catalogue(self) -> Catalogue | None:
        """Wait for a newer catalogue; return `None` if none came for a while.

        Raises:
            UnavailableError: The store does not answer.
        """

    async def workers(self) -> Mapping[str, WorkerEntry]:
        """Return the workers that are registered now.

        Raises:
            UnavailableError: The store does not answer.
        """

    async def hosts(self) -> tuple[Address, ...]:
        """Return where entry hosts have been reached lately.

        Raises:
            UnavailableError: The store does not answer.
        """

    async def register(self, name: str, address: Address) -> None:
        """Write down where this host is reached.

        Raises:
            UnavailableError: The store does not answer.
        """

"""Interfaces from an entry host to the platform, which adapters implement."""

from collections.abc import Mapping
from typing import Protocol

from poplarhill.types import Address
from poplarhilld.catalogue import Catalogue, WorkerEntry
from poplarhilld.evacuation import Evacuations
from poplarhilld.leading import Order
from poplarhilld.leases import LeaseReply, OrderReply, Renewal, RenewalFailure, Run


class UnavailableError(Exception):
    """The platform's store did not answer, or did not carry out a request.

    Args:
        detail: Cause of the failure.
    """


class WorkerClient(Protocol):
    """Sends lease renewals and orders to workers."""

    async def renew(
        self, worker: WorkerEntry, renewal: Renewal
    ) -> LeaseReply | RenewalFailure:
        """Renew the lease on a worker; return its state, or why it gave none."""

    async def start(self, worker: WorkerEntry, order: Order) -> OrderReply:
        """Order a worker to start a run and return its answer."""

    async def stop(self, worker: WorkerEntry, run: Run, token: int) -> bool:
        """Order a worker to stop a run; return whether it answered."""

    async def close_idle_connections(self) -> None:
        """Close connections that have been idle for some time."""

    async def close(self) -> None:
        """Close every connection."""


class Directory(Protocol):
    """Reads the platform's store and registers this host there."""

    @property
    def evacuations(self) -> Evacuations:
        """The evacuations in force, as `next_catalogue` last read them."""

    async def next_catalogue(self) -> Catalogue | None:
        """Wait for a newer catalogue; return `None` if none arrives for a while.

        Raises:
            UnavailableError: The store does not answer.
        """

    async def workers(self) -> Mapping[str, WorkerEntry]:
        """Return the workers registered now, by name.

        Raises:
            UnavailableError: The store does not answer.
        """

    async def hosts(self) -> tuple[Address, ...]:
        """Return the addresses of the entry hosts that are registered.

        Raises:
            UnavailableError: The store does not answer.
        """

    async def register(self, name: str, address: Address) -> None:
        """Register the address at which peers reach this host.

        Raises:
            UnavailableError: The store does not answer.
        """

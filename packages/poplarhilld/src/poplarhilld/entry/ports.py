"""Interfaces from an entry host to the platform, which adapters implement."""

from collections.abc import Awaitable, Callable, Mapping
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
    """Sends lease renewals and orders to workers.

    Each of these calls returns once the request is on its way. The reply is passed to
    `on_reply`, later and exactly once unless the event loop ends before. `on_reply`
    must not block: the task that runs it reads the connection to the worker.
    """

    async def renew(
        self,
        worker: WorkerEntry,
        renewal: Renewal,
        on_reply: Callable[[LeaseReply | RenewalFailure], Awaitable[None]],
    ) -> None:
        """Renew the lease on a worker; pass on its state, or why it gave none."""

    async def start(
        self,
        worker: WorkerEntry,
        order: Order,
        on_reply: Callable[[OrderReply], Awaitable[None]],
    ) -> None:
        """Order a worker to start a run and pass on its answer."""

    async def stop(
        self,
        worker: WorkerEntry,
        run: Run,
        token: int,
        on_reply: Callable[[bool], Awaitable[None]],
    ) -> None:
        """Order a worker to stop a run; pass on whether it answered."""

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

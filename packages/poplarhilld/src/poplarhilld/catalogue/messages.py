"""Routes and workers, as the decisions need to know them."""

from typing import NamedTuple

from poplarhill.types import Address, Resources


class Route(NamedTuple):
    """Where jobs of one kind come in, and how they are to be served.

    Attributes:
        name: Its name, unique in the catalogue.
        host: Host name that callers use, lower case.
        path_prefix: Prefix of the paths that it takes.
        service: Service whose workers run its tasks.
        timeout_s: Longest time that a caller waits, s.
        allowance_s: Time on top of the work within which an answer is in time, s.
        stretch: Factor on the work within which an answer is in time.
        priority: 0 goes first.
        max_attempts: Failed runs after which a task has failed.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_s: float
    allowance_s: float = 0.0
    stretch: float = 1.0
    priority: int = 0
    max_attempts: int = 1

    def objective_s(self, run_time_s: float) -> float:
        """Return the time within which a job of that run time is in time, s."""
        return self.stretch * run_time_s + self.allowance_s


class Catalogue(NamedTuple):
    """One version of the routes and services.

    Attributes:
        version: Rises with each change.
        routes: All routes.
        services: Names of the services that routes may lead to.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: frozenset[str] = frozenset()

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, if any."""
        name = host.partition(":")[0].lower()
        found: Route | None = None
        for route in self.routes:
            if route.host != name or not path.startswith(route.path_prefix):
                continue
            if found is None or len(route.path_prefix) > len(found.path_prefix):
                found = route
        return found


class WorkerEntry(NamedTuple):
    """A worker, as it registered itself.

    Attributes:
        name: Its name, unique in the registry.
        service: Service that it serves.
        address: Where it takes orders.
        data_centre: Data centre that it stands in.
        rack: Rack that it stands in.
        labels: What jobs may require of it.
        room: What it has for tasks.
        draining: Whether it is leaving.
    """

    name: str
    service: str
    address: Address
    data_centre: str
    rack: str
    labels: frozenset[str]
    room: Resources
    draining: bool = False

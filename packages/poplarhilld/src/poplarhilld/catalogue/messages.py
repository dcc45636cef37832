"""Routes, services and workers."""

from typing import NamedTuple

from poplarhill.http import Limits
from poplarhill.http.messages import KIB
from poplarhill.types import Address, Resources


class Route(NamedTuple):
    """Maps requests to a service and sets how their jobs are run.

    The objective for the response time of a job is `stretch` times its run time plus
    `allowance_s`.

    Attributes:
        name: Name of the route, unique in the catalogue.
        host: Host name in the requests, lower case.
        path_prefix: Prefix of the request paths.
        service: Service whose workers run the tasks.
        timeout_s: Time that a caller waits for the response if its request does not
            say, s.
        allowance_s: Constant part of the objective, s.
        stretch: Factor of the run time in the objective.
        priority: Priority of the jobs; 0 is the highest.
        max_attempts: Failed runs after which a task counts as failed.
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
        """Return the objective for the response time of a job, s.

        Args:
            run_time_s: Run time of the job, s.
        """
        return self.stretch * run_time_s + self.allowance_s


# Until a configuration sets others. An idle connection is kept longer than clients keep
# theirs, since closing it may cross a request.
DEFAULT_LIMITS = Limits(body_bytes=256 * KIB, header_s=3.0)


class Catalogue(NamedTuple):
    """One version of the routes and services.

    Attributes:
        version: Version of the catalogue; it increases with each change.
        routes: All routes.
        services: Names of the services that routes may name.
        limits: Limits on the requests of callers.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: frozenset[str] = frozenset()
    limits: Limits = DEFAULT_LIMITS

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a host name whose prefix of the path is the longest."""
        name = host.partition(":")[0].lower()
        found: Route | None = None
        for route in self.routes:
            if route.host != name or not path.startswith(route.path_prefix):
                continue
            if found is None or len(route.path_prefix) > len(found.path_prefix):
                found = route
        return found


class WorkerEntry(NamedTuple):
    """The registration of a worker.

    Attributes:
        name: Name of the worker, unique in the registry.
        service: Service whose tasks it runs.
        address: Address at which it accepts orders.
        data_centre: Data centre of the worker.
        rack: Rack of the worker.
        labels: Labels that jobs may require.
        room: Its capacity for tasks, which may shrink and grow while it runs.
        draining: Whether it is draining and accepts no new tasks.
        largest_room: The largest capacity that this host has read of it.
    """

    name: str
    service: str
    address: Address
    data_centre: str
    rack: str
    labels: frozenset[str]
    room: Resources
    draining: bool = False
    largest_room: Resources = Resources()

"""The status that an entry host reports to operators."""

import msgspec


class HostStatus(msgspec.Struct, frozen=True):
    """Body of the response to `GET /v1/status`.

    Attributes:
        name: Name of the entry host.
        data_centre: Data centre of the host.
        ready: Whether the host accepts new jobs.
        configuration_version: Version of the configuration in force on the
            host; 0 before it has received one.
        configuration_age_s: Time since the log, or a peer that had read it,
            last confirmed that version, s; None if neither has yet.
        configuration_complete: Whether the host can fold the log from its
            current offset. If not, it waits for a snapshot in the log or for
            the state of a peer.
        jobs_in_flight: Count of accepted jobs that are not answered yet.
        queued_tasks: Count of tasks that wait for a slot.
        live_hosts: Count of entry hosts that the host considers live,
            including itself.
        evacuated: Names of the data centres that are evacuated by the configuration
            in force.
    """

    name: str
    data_centre: str
    ready: bool
    configuration_version: int
    configuration_age_s: float | None
    configuration_complete: bool
    jobs_in_flight: int
    queued_tasks: int
    live_hosts: int
    evacuated: tuple[str, ...] = ()

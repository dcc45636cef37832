"""What an entry host says of itself to operators."""

import msgspec


class HostStatus(msgspec.Struct, frozen=True):
    """Answer to `GET /v1/status`.

    Attributes:
        name: Name of the entry host.
        data_centre: Data centre that it stands in.
        ready: Whether it takes new jobs.
        configuration_version: Version in force there; 0 before the first.
        configuration_age_s: Time since the log, or a peer that had read it,
            confirmed that version, s; None before the first time.
        configuration_complete: Whether it can fold the log from where it is;
            if not, it waits for a snapshot or for a peer.
        jobs_in_flight: Jobs without an answer.
        queued_tasks: Tasks that wait for a slot.
        live_hosts: Entry hosts that it takes to be live, itself among them.
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

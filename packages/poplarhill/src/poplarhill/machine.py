"""What a process may use of its machine for what others send."""

import resource
from typing import NamedTuple

_MB = 1_000_000
_KIB = 1024
DEFAULT_MEMORY_MB = 160  # the smallest machine of the deployments
MIN_MEMORY_MB = 64  # an idle process takes up 41 MB
# Of the memory, by use. The rest is for the process itself, its jobs and what it is
# decoding.
_BUDGET_SHARE = 8
_CONNECTIONS_SHARE = 4
# Unread data in the system, data read at once, and the objects of a connection.
_CONNECTION_BYTES = 48 * _KIB
# Of the descriptors. The rest is for files, workers, the store and links to hosts.
_CALLERS_SHARE = 2
_PEERS_SHARE = 6
_PAGES_SHARE = 32
_MAX_PAGE_CONNECTIONS = 16


class MachineLimits(NamedTuple):
    """Bounds on connections and on the memory for unfinished messages.

    Attributes:
        budget_bytes: Memory for messages that were received and are not finished.
        caller_connections: Connections of callers.
        peer_connections: Connections that other hosts have opened.
        page_connections: Connections to each other listener.
    """

    budget_bytes: int
    caller_connections: int
    peer_connections: int
    page_connections: int

    @classmethod
    def from_machine(
        cls, memory_mb: float = DEFAULT_MEMORY_MB, descriptors: int | None = None
    ) -> "MachineLimits":
        """Return the limits of a process.

        Args:
            memory_mb: Memory that the process may use, MB.
            descriptors: File descriptors that it may use, at most as many as the
                system allows; that many if not given.
        """
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        descriptors = min(descriptors or allowed, allowed)
        memory_bytes = round(memory_mb * _MB)
        affordable = memory_bytes // _CONNECTIONS_SHARE // _CONNECTION_BYTES
        return cls(
            memory_bytes // _BUDGET_SHARE,
            max(1, min(descriptors // _CALLERS_SHARE, affordable)),
            max(1, min(descriptors // _PEERS_SHARE, affordable)),
            max(1, min(descriptors // _PAGES_SHARE, _MAX_PAGE_CONNECTIONS)),
        )

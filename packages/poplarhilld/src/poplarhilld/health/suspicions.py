"""Suspicions of other entry hosts, which lower the threshold for an ejection."""

from poplarhilld.peers.messages import Suspicion

_VALIDITY_S = 30.0
_MIN_LEVEL = 0.5


class Suspicions:
    """The latest suspicions received from each peer."""

    def __init__(self) -> None:
        self._received: dict[str, tuple[float, frozenset[str]]] = {}

    def update(
        self, now: float, sender: str, suspicions: tuple[Suspicion, ...]
    ) -> None:
        """Replace the suspicions of a peer and drop those that are too old."""
        strong = (s.worker for s in suspicions if s.level >= _MIN_LEVEL)
        self._received[sender] = (now, frozenset(strong))
        for name, (received_at, _) in list(self._received.items()):
            if now - received_at > _VALIDITY_S:
                del self._received[name]

    def suspecting_peers(self, now: float, worker: str) -> tuple[str, ...]:
        """Return the sorted names of the peers that suspect a worker."""
        return tuple(
            sorted(
                name
                for name, (received_at, workers) in self._received.items()
                if worker in workers and now - received_at <= _VALIDITY_S
            )
        )

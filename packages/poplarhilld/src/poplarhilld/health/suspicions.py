"""What peers suspect of workers: a hint that lowers a threshold."""

from poplarhilld.peers.messages import Suspicion

_VALID_S = 30.0
_WEIGHTY_LEVEL = 0.5


class Suspicions:
    """The last word of each peer on the workers that it suspects."""

    def __init__(self) -> None:
        self._said: dict[str, tuple[float, frozenset[str]]] = {}

    def take(self, now: float, sender: str, suspicions: tuple[Suspicion, ...]) -> None:
        """Take what a peer suspects now."""
        weighty = (s.worker for s in suspicions if s.level >= _WEIGHTY_LEVEL)
        self._said[sender] = (now, frozenset(weighty))
        for name, (said_at, _) in list(self._said.items()):
            if now - said_at > _VALID_S:
                del self._said[name]

    def of(self, now: float, worker: str) -> tuple[str, ...]:
        """Return the peers that suspect a worker."""
        return tuple(
            sorted(
                name
                for name, (said_at, workers) in self._said.items()
                if worker in workers and now - said_at <= _VALID_S
            )
        )

"""Fencing tokens that are unique without any agreement between hosts."""

from poplarhill.types import Address

_HOST_BITS = 16
_TICKS_PER_S = 100  # with 16 host bits a token stays exact as a JSON number


class TokenSource:
    """Makes rising tokens that no other host makes.

    A token is the time of day with the low bits of the host's address after it.

    Args:
        address: Address of this host, unique in the fleet.
    """

    def __init__(self, address: Address) -> None:
        octets = [int(part) for part in address.host.split(".")]
        self._host = (octets[-2] << 8 | octets[-1]) & ((1 << _HOST_BITS) - 1)
        # Data centres differ in the second octet only.
        self._host ^= octets[1] << 11 & ((1 << _HOST_BITS) - 1)
        self._last = 0

    def next(self, time_s: float, above: int = 0) -> int:
        """Return a token above all made here and above a given one.

        Args:
            time_s: Time of day, s since the epoch.
            above: Highest token known to be in use.
        """
        tick = int(time_s * _TICKS_PER_S)
        tick = max(tick, self._last + 1, (above >> _HOST_BITS) + 1)
        self._last = tick
        return tick << _HOST_BITS | self._host

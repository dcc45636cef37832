"""Fencing tokens that hosts keep unique without coordination."""

from poplarhill.types import Address

_HOST_BITS = 16
# Coarse, to keep tokens small enough for JSON numbers. With the 16 host bits they have
# 54 bits, so a reader that uses doubles (53 bits) rounds off the lowest host bit.
_TICKS_PER_S = 100


class TokenSource:
    """Generates increasing fencing tokens that no other host generates.

    The high bits of a token hold the time, the low bits an identifier that is
    derived from the IP address of the host.

    Args:
        address: Address of this host, unique in the fleet.
    """

    def __init__(self, address: Address) -> None:
        octets = [int(part) for part in address.host.split(".")]
        self._host_id = (octets[-2] << 8 | octets[-1]) & ((1 << _HOST_BITS) - 1)
        # Hosts of different data centres may differ in the second octet only.
        self._host_id ^= octets[1] << 11 & ((1 << _HOST_BITS) - 1)
        self._last_tick = 0

    def next(self, time_s: float, above: int = 0) -> int:
        """Return a token above all earlier tokens of this source.

        Args:
            time_s: Wall-clock time, s since the Unix epoch.
            above: Highest token known to be in use; the new one is higher.
        """
        tick = int(time_s * _TICKS_PER_S)
        tick = max(tick, self._last_tick + 1, (above >> _HOST_BITS) + 1)
        self._last_tick = tick
        return tick << _HOST_BITS | self._host_id

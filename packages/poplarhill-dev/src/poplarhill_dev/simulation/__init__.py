"""A fleet of entry hosts, workers and resending callers in simulated time.

Each host has the `Hosts`, `Leader` and `Submissions` of the product, wired as in
`poplarhilld.entry`. The network, the workers and the callers are simulated.
"""

from poplarhill_dev.simulation.callers import Caller
from poplarhill_dev.simulation.fleet import CENTRES, SMALL_FLEET, FleetWorld
from poplarhill_dev.simulation.host import SimulatedHost

__all__ = ["CENTRES", "SMALL_FLEET", "Caller", "FleetWorld", "SimulatedHost"]

"""Placement of tasks near their data.

Nothing here does any work unless the settings give a slowdown above 1 and a step names
a rack. The modules import no other slice at run time, since heartbeats carry
`RackLoad`.
"""

from poplarhilld.locality.leaders import choose_by_data as choose_by_data
from poplarhilld.locality.leaders import cores_by_rack as cores_by_rack
from poplarhilld.locality.leaders import time_lost_by_data_s as time_lost_by_data_s
from poplarhilld.locality.messages import OFF as OFF
from poplarhilld.locality.messages import DataPlace as DataPlace
from poplarhilld.locality.messages import RackLoad as RackLoad
from poplarhilld.locality.messages import TaskHeld as TaskHeld
from poplarhilld.locality.placing import Placement as Placement
from poplarhilld.locality.placing import PlacementPass as PlacementPass
from poplarhilld.locality.placing import Waiting as Waiting
from poplarhilld.locality.state import Locality as Locality

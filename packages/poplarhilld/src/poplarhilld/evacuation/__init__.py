"""Evacuated data centres: no task starts on their workers."""

from poplarhilld.evacuation.messages import Evacuation as Evacuation
from poplarhilld.evacuation.messages import EvacuationEnded as EvacuationEnded
from poplarhilld.evacuation.messages import Evacuations as Evacuations
from poplarhilld.evacuation.messages import EvacuationStarted as EvacuationStarted
from poplarhilld.evacuation.state import EvacuationCopy as EvacuationCopy
from poplarhilld.evacuation.state import EvacuationUpdate as EvacuationUpdate
from poplarhilld.evacuation.state import lines_on_change as lines_on_change

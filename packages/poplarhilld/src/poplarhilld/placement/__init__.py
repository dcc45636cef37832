"""Placement: which queued task goes to which worker, and when."""

from poplarhilld.placement.messages import Candidate as Candidate
from poplarhilld.placement.messages import Placed as Placed
from poplarhilld.placement.state import Placement as Placement
from poplarhilld.placement.view import AllHealthyView as AllHealthyView
from poplarhilld.placement.view import WorkerView as WorkerView
from poplarhilld.placement.view import fits as fits

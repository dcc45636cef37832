"""Overload of a host's own processor: how late it is, and which work it refuses."""

from poplarhilld.overload.control import OverloadControl as OverloadControl
from poplarhilld.overload.messages import OverloadBegan as OverloadBegan
from poplarhilld.overload.messages import OverloadEnded as OverloadEnded
from poplarhilld.overload.messages import OverloadProgress as OverloadProgress
from poplarhilld.overload.messages import Shed as Shed

"""Freshness: whether the configuration and host list are recent enough to send."""

from poplarhilld.freshness.messages import HostsRead as HostsRead
from poplarhilld.freshness.messages import ReadHosts as ReadHosts
from poplarhilld.freshness.messages import ReadLogNow as ReadLogNow
from poplarhilld.freshness.messages import SendToPeer as SendToPeer
from poplarhilld.freshness.state import PAUSE_THRESHOLD_S as PAUSE_THRESHOLD_S
from poplarhilld.freshness.state import Freshness as Freshness
from poplarhilld.freshness.view import LeavingView as LeavingView

"""The leader of a group of workers: decides which task runs where, and when."""

from poplarhilld.leading.estimates import RunTimes as RunTimes
from poplarhilld.leading.handover import as_handed_over as as_handed_over
from poplarhilld.leading.job import LedJob as LedJob
from poplarhilld.leading.messages import LeaderAction as LeaderAction
from poplarhilld.leading.messages import Order as Order
from poplarhilld.leading.messages import QueryWorker as QueryWorker
from poplarhilld.leading.messages import RenewLease as RenewLease
from poplarhilld.leading.messages import ReportJob as ReportJob
from poplarhilld.leading.messages import SendClock as SendClock
from poplarhilld.leading.messages import ShareReport as ShareReport
from poplarhilld.leading.messages import StartRun as StartRun
from poplarhilld.leading.messages import StopRun as StopRun
from poplarhilld.leading.state import Leader as Leader

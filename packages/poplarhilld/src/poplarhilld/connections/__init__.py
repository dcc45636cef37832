"""Persistent connections to one server."""

from poplarhilld.connections.calls import Call as Call
from poplarhilld.connections.calls import CallFailure as CallFailure
from poplarhilld.connections.calls import CallPool as CallPool
from poplarhilld.connections.calls import Handler as Handler
from poplarhilld.connections.calls import Outcome as Outcome
from poplarhilld.connections.deadlines import DeadlineQueue as DeadlineQueue
from poplarhilld.connections.pool import CONNECT_TIMEOUT_S as CONNECT_TIMEOUT_S
from poplarhilld.connections.pool import ConnectionPool as ConnectionPool

"""The dispatcher of one entry host: turns events into actions."""

from poplarhilld.dispatch.core import Dispatcher as Dispatcher
from poplarhilld.dispatch.identity import Identity as Identity

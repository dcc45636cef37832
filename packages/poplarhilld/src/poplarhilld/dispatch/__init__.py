"""The decisions of one entry host: events in, actions out."""

from poplarhilld.dispatch.core import Dispatcher as Dispatcher
from poplarhilld.dispatch.identity import Identity as Identity

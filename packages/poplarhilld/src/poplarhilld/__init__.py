"""Entry host daemon of the poplarhill dispatcher."""

from poplarhilld.dispatch import Dispatcher as Dispatcher
from poplarhilld.settings import Settings as Settings

"""Frames between entry hosts: typed messages, their codec, and the links."""

from poplarhilld.peers.codec import FrameError as FrameError
from poplarhilld.peers.codec import decode as decode
from poplarhilld.peers.codec import encode as encode
from poplarhilld.peers.links import PeerLinks as PeerLinks
from poplarhilld.peers.messages import ConfigurationNews as ConfigurationNews
from poplarhilld.peers.messages import ConfigurationOffer as ConfigurationOffer
from poplarhilld.peers.messages import ConfigurationRequest as ConfigurationRequest
from poplarhilld.peers.messages import Goodbye as Goodbye
from poplarhilld.peers.messages import Heartbeat as Heartbeat
from poplarhilld.peers.messages import HostsNews as HostsNews
from poplarhilld.peers.messages import MemberState as MemberState
from poplarhilld.peers.messages import Message as Message
from poplarhilld.peers.messages import RefreshReply as RefreshReply
from poplarhilld.peers.messages import RefreshRequest as RefreshRequest
from poplarhilld.peers.messages import SlotGrant as SlotGrant
from poplarhilld.peers.messages import SlotRequest as SlotRequest
from poplarhilld.peers.messages import SlotReturn as SlotReturn
from poplarhilld.peers.messages import WorkerSlots as WorkerSlots

"""Tracks which hosts are live and which of them leads which workers."""

from poplarhilld.shards.fleet import LocalHost as LocalHost
from poplarhilld.shards.messages import AnswerNewPeer as AnswerNewPeer
from poplarhilld.shards.messages import HostFound as HostFound
from poplarhilld.shards.messages import HostLost as HostLost
from poplarhilld.shards.messages import LeadershipTaken as LeadershipTaken
from poplarhilld.shards.messages import LeadershipYielded as LeadershipYielded
from poplarhilld.shards.messages import SendHeartbeat as SendHeartbeat
from poplarhilld.shards.messages import ShardAction as ShardAction
from poplarhilld.shards.partition import data_centre as data_centre
from poplarhilld.shards.partition import partition as partition
from poplarhilld.shards.state import Hosts as Hosts

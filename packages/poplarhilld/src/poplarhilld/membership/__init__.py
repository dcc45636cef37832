"""Membership: the entry hosts that are live in this host's own view."""

from poplarhilld.membership.messages import HeartbeatDue as HeartbeatDue
from poplarhilld.membership.messages import MemberJoined as MemberJoined
from poplarhilld.membership.messages import MemberRemoved as MemberRemoved
from poplarhilld.membership.messages import RemovalReason as RemovalReason
from poplarhilld.membership.messages import Superseded as Superseded
from poplarhilld.membership.state import Membership as Membership

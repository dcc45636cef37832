"""Leases on workers: tokens, renewals, and what runs where."""

from poplarhilld.leases.messages import EndKind as EndKind
from poplarhilld.leases.messages import LeaseLost as LeaseLost
from poplarhilld.leases.messages import LeaseReply as LeaseReply
from poplarhilld.leases.messages import OrderOutcome as OrderOutcome
from poplarhilld.leases.messages import OrderReply as OrderReply
from poplarhilld.leases.messages import Renewal as Renewal
from poplarhilld.leases.messages import Run as Run
from poplarhilld.leases.messages import RunClosed as RunClosed
from poplarhilld.leases.messages import RunEnd as RunEnd
from poplarhilld.leases.messages import RunFate as RunFate
from poplarhilld.leases.messages import RunFound as RunFound
from poplarhilld.leases.tokens import TokenSource as TokenSource
from poplarhilld.leases.worker import ORDER_LIFE_S as ORDER_LIFE_S
from poplarhilld.leases.worker import LeasedWorker as LeasedWorker
from poplarhilld.leases.worker import Reservation as Reservation
from poplarhilld.leases.worker import RunState as RunState

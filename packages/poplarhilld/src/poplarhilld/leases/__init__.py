"""Leases on workers: fencing tokens, renewals and reserved capacity."""

from poplarhilld.leases.lease import LONGEST_LEASE_FACTOR as LONGEST_LEASE_FACTOR
from poplarhilld.leases.messages import LeaseReply as LeaseReply
from poplarhilld.leases.messages import OrderOutcome as OrderOutcome
from poplarhilld.leases.messages import OrderReply as OrderReply
from poplarhilld.leases.messages import Renewal as Renewal
from poplarhilld.leases.messages import RenewalFailure as RenewalFailure
from poplarhilld.leases.messages import Run as Run
from poplarhilld.leases.messages import RunClosed as RunClosed
from poplarhilld.leases.messages import RunDiscovered as RunDiscovered
from poplarhilld.leases.messages import RunEnd as RunEnd
from poplarhilld.leases.messages import RunEndKind as RunEndKind
from poplarhilld.leases.messages import RunOutcome as RunOutcome
from poplarhilld.leases.reservation import Lapsing as Lapsing
from poplarhilld.leases.reservation import Reservation as Reservation
from poplarhilld.leases.reservation import ReservationState as ReservationState
from poplarhilld.leases.tokens import TokenSource as TokenSource
from poplarhilld.leases.worker import ORDER_VALIDITY_S as ORDER_VALIDITY_S
from poplarhilld.leases.worker import LeasedWorker as LeasedWorker

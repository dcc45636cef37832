"""Claims: a non-idempotent request with a key runs at most once in the fleet."""

from poplarhilld.claims.loop import ClaimLoop as ClaimLoop
from poplarhilld.claims.messages import AppendClaims as AppendClaims
from poplarhilld.claims.messages import ClaimsAppendDue as ClaimsAppendDue
from poplarhilld.claims.messages import ClaimsAppended as ClaimsAppended
from poplarhilld.claims.messages import ClaimsRead as ClaimsRead
from poplarhilld.claims.messages import ReadClaims as ReadClaims
from poplarhilld.claims.messages import ScheduleClaimsAppend as ScheduleClaimsAppend
from poplarhilld.claims.state import ClaimState as ClaimState

"""Jobs that callers submitted to this host, until each is answered."""

from poplarhilld.submissions.choice import choose_leader as choose_leader
from poplarhilld.submissions.messages import AnswerCaller as AnswerCaller
from poplarhilld.submissions.messages import LeaderView as LeaderView
from poplarhilld.submissions.messages import OfferToLeader as OfferToLeader
from poplarhilld.submissions.messages import Submission as Submission
from poplarhilld.submissions.messages import SubmissionAction as SubmissionAction
from poplarhilld.submissions.messages import WithdrawFromLeader as WithdrawFromLeader
from poplarhilld.submissions.state import Submissions as Submissions

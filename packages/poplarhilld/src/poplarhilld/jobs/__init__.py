"""Jobs in flight: their tasks, the sends of these tasks, and their outcomes."""

from poplarhilld.jobs.messages import Completed as Completed
from poplarhilld.jobs.messages import JobOutcome as JobOutcome
from poplarhilld.jobs.retries import Backoff as Backoff
from poplarhilld.jobs.retries import BackoffView as BackoffView
from poplarhilld.jobs.sends import Send as Send
from poplarhilld.jobs.sends import SendTable as SendTable
from poplarhilld.jobs.state import Job as Job
from poplarhilld.jobs.state import TaskState as TaskState
from poplarhilld.jobs.table import JobTable as JobTable

"""Library shared by the poplarhill daemon and the operators' command."""

from poplarhill.exceptions import ANSWERS as ANSWERS
from poplarhill.exceptions import Answer as Answer
from poplarhill.exceptions import ErrorKind as ErrorKind
from poplarhill.exceptions import Failure as Failure
from poplarhill.exceptions import PoplarhillError as PoplarhillError
from poplarhill.exceptions import RetryAdvice as RetryAdvice
from poplarhill.exceptions import RunState as RunState
from poplarhill.exceptions import SettingsError as SettingsError
from poplarhill.types import JobSpec as JobSpec
from poplarhill.types import Resources as Resources
from poplarhill.types import TaskId as TaskId
from poplarhill.types import WorkerSpec as WorkerSpec

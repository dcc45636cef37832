"""Interface to the platform's log service and host list, and its HTTP client."""

from poplarhill.platform.client import HttpPlatform as HttpPlatform
from poplarhill.platform.client import Platform as Platform
from poplarhill.platform.types import Appended as Appended
from poplarhill.platform.types import AppendRefused as AppendRefused
from poplarhill.platform.types import AppendResult as AppendResult
from poplarhill.platform.types import AppendUnknown as AppendUnknown
from poplarhill.platform.types import Batch as Batch
from poplarhill.platform.types import HostList as HostList
from poplarhill.platform.types import ReadResult as ReadResult
from poplarhill.platform.types import Record as Record
from poplarhill.platform.types import Truncated as Truncated
from poplarhill.platform.types import Unavailable as Unavailable

"""Check of a configuration: errors, warnings, and differences by meaning."""

from poplarhill.configuration.check.checking import check_source as check_source
from poplarhill.configuration.check.checking import has_errors as has_errors
from poplarhill.configuration.check.differences import difference as difference
from poplarhill.configuration.check.differences import (
    field_differences as field_differences,
)
from poplarhill.configuration.check.findings import Difference as Difference
from poplarhill.configuration.check.findings import Finding as Finding
from poplarhill.configuration.check.findings import Severity as Severity
from poplarhill.configuration.check.findings import count as count
from poplarhill.configuration.check.findings import error as error
from poplarhill.configuration.check.findings import warning as warning
from poplarhill.configuration.check.formats import PRODUCT as PRODUCT
from poplarhill.configuration.check.formats import Format as Format
from poplarhill.configuration.check.formats import InForce as InForce
from poplarhill.configuration.check.formats import find_format as find_format
from poplarhill.configuration.check.schema import schema_errors as schema_errors
from poplarhill.configuration.check.source import Source as Source
from poplarhill.configuration.check.source import UnreadableError as UnreadableError
from poplarhill.configuration.check.source import read_bytes as read_bytes
from poplarhill.configuration.check.source import read_file as read_file

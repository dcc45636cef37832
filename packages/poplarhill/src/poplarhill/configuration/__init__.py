"""Operators' configuration: the document, its checks, and its log records."""

from poplarhill.configuration.document import Configuration as Configuration
from poplarhill.configuration.document import CustomerSpec as CustomerSpec
from poplarhill.configuration.document import Defaults as Defaults
from poplarhill.configuration.document import Document as Document
from poplarhill.configuration.document import empty_document as empty_document
from poplarhill.configuration.fold import Fold as Fold
from poplarhill.configuration.fold import Rejection as Rejection
from poplarhill.configuration.patch import apply_patch as apply_patch
from poplarhill.configuration.patch import make_patch as make_patch
from poplarhill.configuration.publisher import READ_LIMIT as READ_LIMIT
from poplarhill.configuration.publisher import Accepted as Accepted
from poplarhill.configuration.publisher import DecidedChange as DecidedChange
from poplarhill.configuration.publisher import Publisher as Publisher
from poplarhill.configuration.records import CONFIG_STREAM as CONFIG_STREAM
from poplarhill.configuration.records import Change as Change
from poplarhill.configuration.records import Restoration as Restoration
from poplarhill.configuration.records import Snapshot as Snapshot
from poplarhill.configuration.records import decode_record as decode_record
from poplarhill.configuration.records import encode_record as encode_record
from poplarhill.configuration.revision import replace_document as replace_document
from poplarhill.configuration.revision import revise as revise

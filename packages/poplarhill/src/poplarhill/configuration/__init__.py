"""Operators' configuration: the document, its checks, and the fold over the log."""

from poplarhill.configuration.document import Configuration as Configuration
from poplarhill.configuration.document import CustomerSpec as CustomerSpec
from poplarhill.configuration.document import Defaults as Defaults
from poplarhill.configuration.document import empty_document as empty_document
from poplarhill.configuration.fold import Change as Change
from poplarhill.configuration.fold import Fold as Fold
from poplarhill.configuration.fold import Rejection as Rejection
from poplarhill.configuration.fold import encode_change as encode_change
from poplarhill.configuration.patch import apply_patch as apply_patch
from poplarhill.configuration.patch import make_patch as make_patch

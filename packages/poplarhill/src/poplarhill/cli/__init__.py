"""The operators' command `poplarhill`."""

from poplarhill.cli.main import main as main

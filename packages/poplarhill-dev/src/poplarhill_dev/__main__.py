"""Entry point: `python -m poplarhill_dev`."""

from poplarhill_dev.cli import main

main()

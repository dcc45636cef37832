"""Stand-ins, load and experiment tool for developing poplarhill."""

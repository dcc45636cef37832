"""Entry host daemon of the poplarhill dispatcher.

The daemon is `poplarhilld.daemon.Daemon`; its decisions are made by
`poplarhilld.dispatch.Dispatcher`. This module imports nothing, which keeps restarts
fast: hosts restart often, and each of the two kinds of entry host loads only the
slices that it uses.
"""

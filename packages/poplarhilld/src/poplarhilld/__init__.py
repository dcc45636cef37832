"""Entry host daemon of the poplarhill dispatcher.

The daemon is `poplarhilld.daemon.Daemon`, its decisions are
`poplarhilld.dispatch.Dispatcher`. Nothing is imported here: hosts restart often,
and each of the two kinds of entry host loads only its own slices.
"""

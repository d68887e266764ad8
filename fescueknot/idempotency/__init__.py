"""At-most-once keys: owners, leases, ledger, takeover and handover.

The protocol is described in ``docs/design/at-most-once.md``. The modules read
no clock and do no I/O: times are passed as arguments. ``AtMostOnceGate`` is
the facade; a node, or a program that embeds the package without a node, calls
it once per request.
"""

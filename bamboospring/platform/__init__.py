"""Adapters for the users' platform: its names, wire formats and calls.

The package contains no decision logic. `line_protocol` defines the format
that callers and targets share, `caller_server` and `target_dialer` implement
the two sides of it, `store_dialect` calls the platform's object store,
`store_objects` decodes the objects that operators and targets write there,
`promotion_client` asks the platform to promote a target, and `__main__`
starts a VM with the settings file that the platform generated. Code outside
this package does not depend on the names that the platform uses.
"""

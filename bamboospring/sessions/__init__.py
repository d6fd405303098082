"""Serve stateful sessions of many callers over few target connections.

`model` holds what is known. `freshness`, `proofs`, `target_choice`, `takeover`
and `primary_health` make decisions without I/O. `session` keeps the state of
one caller, `runner` runs statements, and the keepers update the model. `ports`
separates these from the protocols of callers, targets and the platform.
"""

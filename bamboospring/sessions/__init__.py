"""Callers' stateful sessions over few connections to the targets.

`model` holds what is known, `freshness`, `proofs`, `target_choice`,
`takeover` and `judgement` decide without I/O, `session` is one caller's
state, `runner` carries statements out, and the keepers bring facts in. What
is spoken with callers, targets and the platform is behind `ports`.
"""

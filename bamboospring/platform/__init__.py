"""The users' platform: its names, formats and calls, and nothing that decides.

`lines` holds the format that callers and targets share, `caller_lines` and
`target_lines` translate the two sides, `store` speaks with the platform's
object store, `entries` reads what others write there, `orders` has targets
promoted, and `__main__` starts a VM with the settings that the platform
rendered. Nothing outside this package knows any name that is used here.
"""

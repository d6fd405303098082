"""Stand-ins for targets, platform and network, for demo and tests."""

__all__: list[str] = []

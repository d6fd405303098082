"""Stand-ins for targets, the platform and the network, for tests and demo."""

__all__: list[str] = []

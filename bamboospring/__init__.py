"""A database proxy with session consistency."""

__all__ = ["__version__"]

__version__ = "0.1.0"

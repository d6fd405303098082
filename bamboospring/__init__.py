"""A database proxy with session consistency for estates on the move."""

__all__ = ["__version__"]

__version__ = "0.1.0"

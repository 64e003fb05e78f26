"""A multi-region inference gateway for small public and cooperative bodies."""

__all__ = ["__version__"]

__version__ = "0.1.0.dev0"

"""Import of a package's modules on first use."""

import importlib
from collections.abc import Callable, Mapping
from typing import Any

__all__ = ["make_loader"]


def make_loader(
    package: str, modules: Mapping[str, tuple[str, ...]]
) -> Callable[[str], Any]:
    """Return a `__getattr__` for a package, as in PEP 562.

    A restarted instance serves no caller until its modules are imported, so it
    should import only the modules that it uses.

    Args:
        package: The package's `__name__`.
        modules: The names that the package exports, by module.
    """
    origins = {name: module for module, names in modules.items() for name in names}

    def _load(name: str) -> Any:
        if name not in origins:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        module = importlib.import_module(f"{package}.{origins[name]}")
        return getattr(module, name)

    return _load

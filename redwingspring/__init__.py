"""Load balancer for servers whose load shifts in milliseconds."""

import importlib

from .version import __version__

# Modules of the public names, imported on first use. An entry process imports only
# what it needs, since a restarted host serves no callers until its imports are done.
_MODULES = {
    "Entry": "control",
    "Failure": "verdict",
    "Reason": "verdict",
    "RedwingspringError": "errors",
    "Verdict": "verdict",
}

__all__ = ["Entry", "Failure", "Reason", "RedwingspringError", "Verdict", "__version__"]


def __getattr__(name):
    """Import the module of a public name and return the object.

    Parameters
    ----------
    name : str
        One of the public names.

    Returns
    -------
    object
        The object with this name.
    """
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f".{_MODULES[name]}", __name__), name)

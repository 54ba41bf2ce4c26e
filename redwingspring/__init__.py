"""Load balancer for servers whose load shifts in milliseconds."""

import importlib

from .version import __version__

# Loaded on first use: a process that serves callers loads only what it needs,
# since a restarted host answers nobody until it has loaded.
_MODULES = {
    "Entry": "control",
    "Failure": "verdict",
    "Reason": "verdict",
    "RedwingspringError": "errors",
    "Verdict": "verdict",
}

__all__ = ["Entry", "Failure", "Reason", "RedwingspringError", "Verdict", "__version__"]


def __getattr__(name):
    """Return a public name of the package, loading its module.

    Parameters
    ----------
    name : str
        The name.

    Returns
    -------
    object
        What the package offers under it.
    """
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f".{_MODULES[name]}", __name__), name)

"""Registries of named classes or functions, filled by decorators."""

from .errors import UnknownNameError


class Registry:
    """Named classes or functions of one kind.

    Parameters
    ----------
    kind : str
        What an entry is, in error messages.
    """

    def __init__(self, kind):
        self.kind = kind
        self._entries = {}

    def register(self, name):
        """Return a decorator that adds its argument under a name.

        Parameters
        ----------
        name : str
            Name of the entry in settings and configuration.

        Returns
        -------
        callable
            The decorator; it returns its argument unchanged.
        """

        def _add(entry):
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return _add

    def list_names(self):
        """Return the registered names in alphabetical order.

        Returns
        -------
        tuple of str
            The sorted names.
        """
        return tuple(sorted(self._entries))

    def find(self, name):
        """Return the entry with a name.

        Parameters
        ----------
        name : str
            A registered name.

        Returns
        -------
        object
            The registered class or function.

        Raises
        ------
        UnknownNameError
            If no entry has this name.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(self.list_names())
            raise UnknownNameError(
                f"unknown {self.kind} {name!r}; known are: {known}"
            ) from None

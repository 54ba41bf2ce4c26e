"""Exceptions that are visible to users of the package and to operators."""


class RedwingspringError(Exception):
    """Base class of all exceptions that users may see."""


class DocumentError(RedwingspringError):
    """A settings file or a published document is invalid.

    Parameters
    ----------
    problems : tuple of str
        One message for each fault, with file, line and key where known.
    """

    def __init__(self, problems):
        self.problems = tuple(problems)
        super().__init__("\n".join(self.problems))


class UnknownNameError(RedwingspringError):
    """A registry has no entry with the given name."""


class PublicationError(RedwingspringError):
    """The configuration service did not return a valid response."""


class PageError(RedwingspringError):
    """A control page of an entry host is unavailable or malformed."""


class StartError(RedwingspringError):
    """An entry process could not start."""

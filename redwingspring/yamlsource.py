"""YAML text with file, line and key for each value; collects all errors."""

import difflib
from pathlib import Path

import yaml

from .errors import DocumentError
from .yamltree import StructureError, TreeBuilder

MAX_DOCUMENT_BYTES = 1_000_000
# Bounds the memory and time that a malformed document of the largest size takes.
MAX_PROBLEMS = 1000
# A suggestion compares the name with every known name, of which there may be
# thousands, so only the first problems get one.
MAX_SUGGESTIONS = 20


class Problem(str):
    """A message ``FILE:LINE: KEY: what is wrong`` and its parts.

    Attributes
    ----------
    file : str
        File or source name.
    line : int
        Line number, counted from 1.
    key : str
        Path of the key within the document.
    message : str
        What is wrong and what is allowed.
    """

    __slots__ = ("file", "key", "line", "message")

    def __new__(cls, file, line, key, message):
        """Return the message with its parts as attributes."""
        problem = super().__new__(cls, f"{file}:{line}: {key}: {message}")
        problem.file = file
        problem.line = line
        problem.key = key
        problem.message = message
        return problem


def read_file(path):
    """Return the text of a file.

    Parameters
    ----------
    path : pathlib.Path or str
        The file.

    Returns
    -------
    str
        Its text.

    Raises
    ------
    DocumentError
        If the file cannot be read or is not UTF-8.
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as error:
        reason = error.strerror or str(error)
        raise DocumentError([Problem(str(path), 1, "document", reason)]) from error
    except UnicodeDecodeError as error:
        line = error.object.count(b"\n", 0, error.start) + 1
        problem = Problem(str(path), line, "document", "is not UTF-8 text")
        raise DocumentError([problem]) from error


def describe(value):
    """Return a value as error messages show it.

    Parameters
    ----------
    value : object
        The value of an Node.

    Returns
    -------
    str
        The kind of a list or mapping; at most 60 characters of a scalar.
    """
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, tuple):
        return "a list"
    if value is None:
        return "nothing"
    if isinstance(value, bool):
        return "true" if value else "false"
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def describe_text_fault(value):
    """Return the message for a value that should be text.

    Parameters
    ----------
    value : object
        The value of an Node; not a str.

    Returns
    -------
    str
        What is wrong and, for scalars that YAML does not read as text, what
        to do.
    """
    message = f"must be text, not {describe(value)}"
    if isinstance(value, dict | tuple | None):
        return message
    return f"{message}; put it in quotes"


class YamlSource:
    """One parsed document and the problems found in it.

    Parameters
    ----------
    text : str
        YAML text.
    name : str
        File or source name for error messages.

    Attributes
    ----------
    root : Node or None
        The whole document; None when the text is not YAML.
    problems : list of Problem
        In the order in which they were found.
    """

    def __init__(self, text, name):
        self.name = name
        self.problems = []
        self._suggestions = 0
        self._omitted = 0
        self.root = self._parse(text)

    def report(self, node, message):
        """Add a problem with an entry.

        Parameters
        ----------
        node : Node
            The entry that is wrong.
        message : str
            What is wrong and what is allowed.
        """
        self._add(node.line, node.key, message)

    def report_missing(self, node, name):
        """Add the problem that a mapping lacks a key.

        Parameters
        ----------
        node : Node
            The mapping.
        name : str
            The missing name.
        """
        key = name if node is self.root else f"{node.key}.{name}"
        self._add(node.line, key, "is missing")

    def raise_problems(self):
        """Raise all problems together, sorted by line.

        Raises
        ------
        DocumentError
            If there is any problem.
        """
        if not self.problems:
            return
        problems = sorted(self.problems, key=lambda problem: problem.line)
        if self._omitted:
            message = f"has {self._omitted} further problems"
            problems.append(Problem(self.name, problems[-1].line, "document", message))
        raise DocumentError(problems)

    def suggest(self, word, known):
        """Return the end of a message that names the nearest known word.

        Parameters
        ----------
        word : str
            The unknown word.
        known : iterable of str
            All known words.

        Returns
        -------
        str
            Such as ``; did you mean 'targets'?``. When no word is near, a
            short list of known words is given in full.
        """
        known = sorted(known)
        if self._suggestions < MAX_SUGGESTIONS:
            self._suggestions += 1
            near = difflib.get_close_matches(word, known, 1)
            if near:
                return f"; did you mean {near[0]!r}?"
        if 0 < len(known) <= 12:
            return f"; known are: {', '.join(known)}"
        return ""

    def read_mapping(self, node, required=(), optional=None):
        """Return the entries of a mapping by name.

        Parameters
        ----------
        node : Node or None
            The mapping; empty counts as a mapping without entries, and None
            stands for a missing entry that is reported elsewhere.
        required : sequence of str, default=()
            Names that must be present.
        optional : sequence of str or None, default=None
            Other allowed names; None allows every name.

        Returns
        -------
        dict of str to Node
            The entries with allowed names; empty for other kinds of value.
        """
        if node is None or (node.value is None and not required):
            return {}
        if not isinstance(node.value, dict):
            self.report(node, f"must be a mapping, not {describe(node.value)}")
            return {}
        if optional is None:
            return node.value
        known = (*required, *optional)
        for name, child in node.value.items():
            if name not in known:
                self.report(child, f"unknown key{self.suggest(name, known)}")
        for name in required:
            if name not in node.value:
                self.report_missing(node, name)
        return {name: child for name, child in node.value.items() if name in known}

    def read_items(self, node):
        """Return the entries of a list.

        Parameters
        ----------
        node : Node or None
            The list; empty counts as a list without entries, and None stands
            for a missing entry that is reported elsewhere.

        Returns
        -------
        tuple of Node
            The items; empty for other kinds of value.
        """
        if node is None or node.value is None:
            return ()
        if not isinstance(node.value, tuple):
            self.report(node, f"must be a list, not {describe(node.value)}")
            return ()
        return node.value

    def read_text(self, node):
        """Return a text that is not blank.

        Parameters
        ----------
        node : Node or None
            The entry; None when it is missing, which is reported elsewhere.

        Returns
        -------
        str or None
            The text without surrounding space; None for other values.
        """
        if node is None:
            return None
        if not isinstance(node.value, str):
            self.report(node, describe_text_fault(node.value))
            return None
        if not node.value.strip():
            self.report(node, "must not be empty")
            return None
        return node.value.strip()

    def _add(self, line, key, message):
        if len(self.problems) < MAX_PROBLEMS:
            self.problems.append(Problem(self.name, line, key, message))
        else:
            self._omitted += 1

    def _parse(self, text):
        try:
            size = len(text.encode())
        except UnicodeEncodeError:
            self._add(1, "document", "is not Unicode text")
            return None
        if size > MAX_DOCUMENT_BYTES:
            message = f"has {size} bytes; at most {MAX_DOCUMENT_BYTES} are allowed"
            self._add(1, "document", message)
            return None
        try:
            return TreeBuilder(self._add).build(text)
        except StructureError as error:
            self._add(error.line, error.key, error.message)
        except yaml.MarkedYAMLError as error:
            mark = error.problem_mark or error.context_mark
            line = mark.line + 1 if mark else 1
            self._add(line, "document", f"is not valid YAML: {error.problem}")
        except yaml.reader.ReaderError as error:
            line = text.encode().count(b"\n", 0, error.position) + 1
            self._add(line, "document", f"is not valid YAML: {error.reason}")
        return None

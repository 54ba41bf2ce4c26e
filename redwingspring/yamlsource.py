"""Parsed YAML documents that collect problems with file, line and key."""

import difflib
from pathlib import Path

import yaml

from .errors import DocumentError
from .yamltree import StructureError, TreeBuilder

MAX_DOCUMENT_BYTES = 1_000_000
# Bounds memory and time for an invalid document of the maximum size.
MAX_PROBLEMS = 1000
# A suggestion compares an unknown name with every known name, of which there may be
# thousands, so only the first unknown names get one.
MAX_SUGGESTIONS = 20


class Problem(str):
    """A message of the form ``FILE:LINE: KEY: MESSAGE`` with its parts as attributes.

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
        """Build the full message and set its parts as attributes."""
        problem = super().__new__(cls, f"{file}:{line}: {key}: {message}")
        problem.file = file
        problem.line = line
        problem.key = key
        problem.message = message
        return problem


def read_file(path):
    """Read a UTF-8 text file.

    Parameters
    ----------
    path : pathlib.Path or str
        Path of the file.

    Returns
    -------
    str
        Content of the file.

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


def describe_value(value):
    """Return a value as error messages show it.

    Parameters
    ----------
    value : object
        The value of a Node.

    Returns
    -------
    str
        The type of a list or mapping; at most 60 characters of a scalar.
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


def describe_text_error(value):
    """Return the message for a value that should be text.

    Parameters
    ----------
    value : object
        The value of a Node; not a str.

    Returns
    -------
    str
        What is wrong; for a scalar that YAML reads as another type, also the
        advice to quote it.
    """
    message = f"must be text, not {describe_value(value)}"
    if isinstance(value, dict | tuple | None):
        return message
    return f"{message}; put it in quotes"


class YamlSource:
    """A parsed YAML document and the problems found in it.

    Parameters
    ----------
    text : str
        YAML text.
    name : str
        File or source name for error messages.

    Attributes
    ----------
    root : Node or None
        Root of the document; None when the text cannot be parsed.
    problems : list of Problem
        In the order in which they were found.
    """

    def __init__(self, text, name):
        self.name = name
        self.problems = []
        self._suggestion_count = 0
        self._omitted_count = 0
        self.root = self._parse(text)

    def report(self, node, message):
        """Add a problem at a node.

        Parameters
        ----------
        node : Node
            The node with the invalid value or key.
        message : str
            What is wrong and what is allowed.
        """
        self._add(node.line, node.key, message)

    def report_missing(self, node, name):
        """Add the problem that a mapping lacks a required key.

        Parameters
        ----------
        node : Node
            The mapping.
        name : str
            The missing key.
        """
        key = name if node is self.root else f"{node.key}.{name}"
        self._add(node.line, key, "is missing")

    def raise_problems(self):
        """Raise all problems together, sorted by line.

        Raises
        ------
        DocumentError
            If any problem was reported.
        """
        if not self.problems:
            return
        problems = sorted(self.problems, key=lambda problem: problem.line)
        if self._omitted_count:
            message = f"has {self._omitted_count} further problems"
            problems.append(Problem(self.name, problems[-1].line, "document", message))
        raise DocumentError(problems)

    def suggest(self, unknown_name, known):
        """Return a message suffix that suggests a similar known name.

        Parameters
        ----------
        unknown_name : str
            The unknown name.
        known : iterable of str
            All known names.

        Returns
        -------
        str
            Such as ``; did you mean 'targets'?``. When no known name is similar,
            all known names if there are at most 12, otherwise nothing.
        """
        known = sorted(known)
        if self._suggestion_count < MAX_SUGGESTIONS:
            self._suggestion_count += 1
            close_matches = difflib.get_close_matches(unknown_name, known, 1)
            if close_matches:
                return f"; did you mean {close_matches[0]!r}?"
        if 0 < len(known) <= 12:
            return f"; known are: {', '.join(known)}"
        return ""

    def read_mapping(self, node, required=(), optional=None):
        """Return the values of a mapping by key; report unknown and missing keys.

        Parameters
        ----------
        node : Node or None
            The mapping. A null value counts as an empty mapping when no key is
            required; None stands for a missing node, which is reported elsewhere.
        required : sequence of str, default=()
            Keys that must be present.
        optional : sequence of str or None, default=None
            Other allowed keys; None allows any key.

        Returns
        -------
        dict of str to Node
            The nodes with allowed keys; empty if the value is not a mapping.
        """
        if node is None or (node.value is None and not required):
            return {}
        if not isinstance(node.value, dict):
            self.report(node, f"must be a mapping, not {describe_value(node.value)}")
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
        """Return the items of a list.

        Parameters
        ----------
        node : Node or None
            The list. A null value counts as an empty list; None stands for a
            missing node, which is reported elsewhere.

        Returns
        -------
        tuple of Node
            The items; empty if the value is not a list.
        """
        if node is None or node.value is None:
            return ()
        if not isinstance(node.value, tuple):
            self.report(node, f"must be a list, not {describe_value(node.value)}")
            return ()
        return node.value

    def read_text(self, node):
        """Return a text value; report other types and blank text.

        Parameters
        ----------
        node : Node or None
            The node; None when it is missing, which is reported elsewhere.

        Returns
        -------
        str or None
            The text without surrounding white space; None if it is invalid.
        """
        if node is None:
            return None
        if not isinstance(node.value, str):
            self.report(node, describe_text_error(node.value))
            return None
        if not node.value.strip():
            self.report(node, "must not be empty")
            return None
        return node.value.strip()

    def _add(self, line, key, message):
        if len(self.problems) < MAX_PROBLEMS:
            self.problems.append(Problem(self.name, line, key, message))
        else:
            self._omitted_count += 1

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

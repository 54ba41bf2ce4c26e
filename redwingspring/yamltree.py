"""Builds a tree of values with their places from the events of a YAML parser."""

import re
from dataclasses import dataclass

import yaml

MAX_DEPTH = 16

_INTEGER = re.compile(r"[-+]?(0|[1-9][0-9]{0,17})")
_FLOAT = re.compile(r"[-+]?[0-9]{1,18}\.[0-9]{1,18}")
_WORDS = {
    **dict.fromkeys(("true", "yes", "on"), True),
    **dict.fromkeys(("false", "no", "off"), False),
    **dict.fromkeys(("null", "~", ""), None),
}
_TAGS = {
    yaml.ScalarEvent: (None, "!", "tag:yaml.org,2002:str"),
    yaml.MappingStartEvent: (None, "!", "tag:yaml.org,2002:map"),
    yaml.SequenceStartEvent: (None, "!", "tag:yaml.org,2002:seq"),
}
# The libyaml parser is about ten times faster than the one in Python.
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclass(frozen=True, slots=True)
class Node:
    """One value of a document and its place.

    Attributes
    ----------
    key : str
        Path of the key, such as ``exceptions[0].reason``.
    line : int
        Line of the key, or of the item of a list.
    value : object
        A dict of name to Node, a tuple of Node, or a scalar.
    """

    key: str
    line: int
    value: object

    def strip_positions(self):
        """Return the value without the places of its parts.

        Returns
        -------
        object
            A dict, a tuple or a scalar.
        """
        if isinstance(self.value, dict):
            return {name: part.strip_positions() for name, part in self.value.items()}
        if isinstance(self.value, tuple):
            return tuple(part.strip_positions() for part in self.value)
        return self.value


class StructureError(Exception):
    """A fault after which the structure of the document is unknown.

    Parameters
    ----------
    line : int
        Line of the fault.
    key : str
        Path of the key.
    message : str
        What is wrong and what is allowed.
    """

    def __init__(self, line, key, message):
        super().__init__(message)
        self.line = line
        self.key = key
        self.message = message


class _Frame:
    """A mapping or list whose end has not been read."""

    __slots__ = ("items", "key", "line", "name", "name_line")

    def __init__(self, key, line, items):
        self.key = key
        self.line = line
        self.items = items
        self.name = None
        self.name_line = line

    def join(self):
        """Return the key path of the value that follows."""
        if isinstance(self.items, list):
            return f"{self.key}[{len(self.items)}]"
        if self.name is None:
            return self.key
        return self.name if self.key == "document" else f"{self.key}.{self.name}"


class TreeBuilder:
    """Builds the root entry of a document.

    Events are read instead of composed nodes, so that aliases and deep nesting
    are refused where they occur, before they are expanded.

    Parameters
    ----------
    report : callable
        Called with line, key and message for each fault that leaves the
        structure known.
    """

    def __init__(self, report):
        self._report = report
        self._stack = []
        self._root = None

    def build(self, text):
        """Return the root entry.

        Parameters
        ----------
        text : str
            YAML text.

        Returns
        -------
        Node
            The whole document; its value is None when the text is empty.

        Raises
        ------
        StructureError
            If the text has a part that is not allowed and hides the structure.
        yaml.YAMLError
            If the text is not YAML.
        """
        for event in yaml.parse(text, _Loader):
            line = event.start_mark.line + 1
            self._check_tag(event, line)
            if isinstance(event, yaml.ScalarEvent):
                self._add(event.value, self._read_scalar(event), line)
            elif isinstance(event, yaml.MappingStartEvent):
                self._open({}, line)
            elif isinstance(event, yaml.SequenceStartEvent):
                self._open([], line)
            elif isinstance(event, yaml.CollectionEndEvent):
                frame = self._stack.pop()
                items = frame.items
                value = tuple(items) if isinstance(items, list) else items
                self._add(None, value, frame.line)
            elif isinstance(event, yaml.AliasEvent):
                key = self._stack[-1].join() if self._stack else "document"
                message = f"alias '*{event.anchor}' is not allowed; repeat the value"
                raise StructureError(line, key, message)
            elif isinstance(event, yaml.DocumentStartEvent) and self._root is not None:
                message = "only one document is allowed in a file"
                raise StructureError(line, "document", message)
        return self._root or Node("document", 1, None)

    def _open(self, items, line):
        """Begin a mapping or list."""
        if not self._stack:
            self._stack.append(_Frame("document", line, items))
            return
        parent = self._stack[-1]
        key = parent.join()
        if isinstance(parent.items, dict):
            if parent.name is None:
                raise StructureError(line, key, "a key must be text")
            line = parent.name_line
        if len(self._stack) >= MAX_DEPTH:
            message = f"is nested more than {MAX_DEPTH} levels deep"
            raise StructureError(line, key, message)
        self._stack.append(_Frame(key, line, items))

    def _add(self, name, value, line):
        """Add a finished value, or the name of the next one, to its parent."""
        if not self._stack:
            self._root = Node("document", 1, value)
            return
        frame = self._stack[-1]
        if isinstance(frame.items, list):
            frame.items.append(Node(frame.join(), line, value))
            return
        if frame.name is None:
            frame.name = name
            frame.name_line = line
            return
        if frame.name in frame.items:
            first = frame.items[frame.name].line
            message = f"is given twice; the first one is in line {first}"
            self._report(frame.name_line, frame.join(), message)
        else:
            node = Node(frame.join(), frame.name_line, value)
            frame.items[frame.name] = node
        frame.name = None

    def _check_tag(self, event, line):
        allowed = _TAGS.get(type(event))
        if allowed is not None and event.tag not in allowed:
            key = self._stack[-1].join() if self._stack else "document"
            self._report(line, key, f"tag {event.tag!r} is not allowed")

    def _read_scalar(self, event):
        # implicit[0] is true for a plain scalar without a tag.
        if not event.implicit[0]:
            return event.value
        text = event.value
        if text.lower() in _WORDS:
            return _WORDS[text.lower()]
        if _INTEGER.fullmatch(text):
            return int(text)
        if _FLOAT.fullmatch(text):
            return float(text)
        return text

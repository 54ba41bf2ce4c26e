"""Tree of YAML values with key paths and lines, built from parser events."""

import re
from dataclasses import dataclass

import yaml

MAX_DEPTH = 16

_INTEGER = re.compile(r"[-+]?(0|[1-9][0-9]{0,17})")
_FLOAT = re.compile(r"[-+]?[0-9]{1,18}\.[0-9]{1,18}")
_KEYWORDS = {
    **dict.fromkeys(("true", "yes", "on"), True),
    **dict.fromkeys(("false", "no", "off"), False),
    **dict.fromkeys(("null", "~", ""), None),
}
_ALLOWED_TAGS = {
    yaml.ScalarEvent: (None, "!", "tag:yaml.org,2002:str"),
    yaml.MappingStartEvent: (None, "!", "tag:yaml.org,2002:map"),
    yaml.SequenceStartEvent: (None, "!", "tag:yaml.org,2002:seq"),
}
# The C parser of libyaml is about ten times faster than the one in Python.
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclass(frozen=True, slots=True)
class Node:
    """One value of a document with its key path and line.

    Attributes
    ----------
    key : str
        Path of the key, such as ``exceptions[0].reason``.
    line : int
        Line of the key in a mapping, or of the item in a list.
    value : object
        A dict of str to Node, a tuple of Node, or a scalar.
    """

    key: str
    line: int
    value: object

    def strip_positions(self):
        """Return the plain value, without key paths and lines.

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
    """An error that stops the parsing of a document.

    Parameters
    ----------
    line : int
        Line of the error.
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


class _OpenCollection:
    """A mapping or list whose end has not been parsed yet."""

    __slots__ = ("items", "key", "line", "name", "name_line")

    def __init__(self, key, line, items):
        self.key = key
        self.line = line
        self.items = items
        self.name = None
        self.name_line = line

    def build_child_key(self):
        """Return the key path of the next value."""
        if isinstance(self.items, list):
            return f"{self.key}[{len(self.items)}]"
        if self.name is None:
            return self.key
        return self.name if self.key == "document" else f"{self.key}.{self.name}"


class TreeBuilder:
    """Builds the tree of nodes of a document.

    The builder reads parser events instead of nodes composed by the YAML library,
    so that aliases and deep nesting are rejected where they occur, before they are
    expanded.

    Parameters
    ----------
    report : callable
        Called with line, key and message for each error after which parsing
        can continue.
    """

    def __init__(self, report):
        self._report = report
        self._stack = []
        self._root = None

    def build(self, text):
        """Parse a text and return the root node.

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
            If the text has an alias, a second document, a key that is not text or
            too deep nesting.
        yaml.YAMLError
            If the text is not YAML.
        """
        for event in yaml.parse(text, _Loader):
            line = event.start_mark.line + 1
            self._check_tag(event, line)
            if isinstance(event, yaml.ScalarEvent):
                self._add(event.value, self._read_scalar(event), line)
            elif isinstance(event, yaml.MappingStartEvent):
                self._open_collection({}, line)
            elif isinstance(event, yaml.SequenceStartEvent):
                self._open_collection([], line)
            elif isinstance(event, yaml.CollectionEndEvent):
                collection = self._stack.pop()
                items = collection.items
                value = tuple(items) if isinstance(items, list) else items
                self._add(None, value, collection.line)
            elif isinstance(event, yaml.AliasEvent):
                key = self._stack[-1].build_child_key() if self._stack else "document"
                message = f"alias '*{event.anchor}' is not allowed; repeat the value"
                raise StructureError(line, key, message)
            elif isinstance(event, yaml.DocumentStartEvent) and self._root is not None:
                message = "only one document is allowed in a file"
                raise StructureError(line, "document", message)
        return self._root or Node("document", 1, None)

    def _open_collection(self, items, line):
        """Push a new mapping or list on the stack."""
        if not self._stack:
            self._stack.append(_OpenCollection("document", line, items))
            return
        parent = self._stack[-1]
        key = parent.build_child_key()
        if isinstance(parent.items, dict):
            if parent.name is None:
                raise StructureError(line, key, "a key must be text")
            line = parent.name_line
        if len(self._stack) >= MAX_DEPTH:
            message = f"is nested more than {MAX_DEPTH} levels deep"
            raise StructureError(line, key, message)
        self._stack.append(_OpenCollection(key, line, items))

    def _add(self, name, value, line):
        """Add a complete value, or the key of the next value, to its parent."""
        if not self._stack:
            self._root = Node("document", 1, value)
            return
        collection = self._stack[-1]
        if isinstance(collection.items, list):
            collection.items.append(Node(collection.build_child_key(), line, value))
            return
        if collection.name is None:
            collection.name = name
            collection.name_line = line
            return
        if collection.name in collection.items:
            first = collection.items[collection.name].line
            message = f"is given twice; the first one is in line {first}"
            self._report(collection.name_line, collection.build_child_key(), message)
        else:
            node = Node(collection.build_child_key(), collection.name_line, value)
            collection.items[collection.name] = node
        collection.name = None

    def _check_tag(self, event, line):
        allowed = _ALLOWED_TAGS.get(type(event))
        if allowed is not None and event.tag not in allowed:
            key = self._stack[-1].build_child_key() if self._stack else "document"
            self._report(line, key, f"tag {event.tag!r} is not allowed")

    def _read_scalar(self, event):
        # implicit[0] is true for a plain (unquoted) scalar without a tag.
        if not event.implicit[0]:
            return event.value
        text = event.value
        if text.lower() in _KEYWORDS:
            return _KEYWORDS[text.lower()]
        if _INTEGER.fullmatch(text):
            return int(text)
        if _FLOAT.fullmatch(text):
            return float(text)
        return text

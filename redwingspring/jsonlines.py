"""Lines of the values of a JSON document."""

import json
import re
from dataclasses import dataclass

_TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[{}\[\],:]|[^\s{}\[\],:"]+', re.DOTALL)


@dataclass
class _Container:
    """An object or a list whose end has not been read."""

    path: str
    index: int | None
    key: str | None = None

    def build_path(self):
        """Return the path of the current member."""
        if self.index is None:
            return f"{self.path}.{self.key}"
        return f"{self.path}[{self.index}]"


def find_lines(text):
    """Return the line of each value of a JSON document.

    Parameters
    ----------
    text : str
        A well-formed document.

    Returns
    -------
    dict of str to int
        Line, counted from 1, by path, such as ``$.services[0].name``. The line of a
        member of an object is that of its key.
    """
    lines, containers, line, end = {}, [], 1, 0
    for match in _TOKEN.finditer(text):
        line += text.count("\n", end, match.start())
        end = match.start()
        token = match[0]
        container = containers[-1] if containers else None
        if token == ":":
            continue
        if token in "}]":
            containers.pop()
        elif token == ",":
            _advance(container)
        elif container and container.index is None and container.key is None:
            container.key = json.loads(token)
            lines[container.build_path()] = line
        else:
            path = container.build_path() if container else "$"
            if container is None or container.index is not None:
                lines[path] = line
            if token in "{[":
                containers.append(_Container(path, 0 if token == "[" else None))
    return lines


def _advance(container):
    """Move on to the next member of an object or list."""
    if container.index is None:
        container.key = None
    else:
        container.index += 1

"""Compares names used in the package with those listed in the documentation."""

import ast
import re

PLACEHOLDER = "<>"


def find_names(package, methods, receivers=None):
    """Return the names passed to methods such as ``increment``.

    Variable parts of a name appear as ``<>``. A name that cannot be determined
    statically is reported as ``?file:line``, so that no call is missed.
    """
    names = set()
    for path in sorted(package.rglob("*.py")):
        tree = ast.parse(path.read_text())
        for node in ast.walk(tree):
            if _is_call(node, methods, receivers):
                location = f"?{path.name}:{node.lineno}"
                for value in _resolve(node.args[0], tree):
                    names |= _extract_names(value, location)
    return sorted(names)


def _is_call(node, methods, receivers):
    if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
        return False
    if node.func.attr not in methods or not node.args:
        return False
    receiver = node.func.value
    last = getattr(receiver, "attr", None) or getattr(receiver, "id", None)
    return receivers is None or last in receivers


def _resolve(node, tree):
    """Return the argument, or all values assigned to its variable."""
    if not isinstance(node, ast.Name):
        return [node]
    values = [
        other.value
        for other in ast.walk(tree)
        if isinstance(other, ast.Assign)
        and any(isinstance(t, ast.Name) and t.id == node.id for t in other.targets)
    ]
    return values or [node]


def _extract_names(node, location):
    if isinstance(node, ast.Constant):
        return {node.value}
    if isinstance(node, ast.IfExp):
        return _extract_names(node.body, location) | _extract_names(
            node.orelse, location
        )
    if isinstance(node, ast.JoinedStr):
        parts = (
            p.value if isinstance(p, ast.Constant) else PLACEHOLDER for p in node.values
        )
        return {"".join(parts)}
    return {location}


def read_table_names(page):
    """Return the names in the first column of the page's tables."""
    names = re.findall(r"^\| `([^`]+)` \|", page.read_text(), re.MULTILINE)
    return sorted(re.sub(r"<[^>]*>", PLACEHOLDER, name) for name in names)


def matches_name(name, others):
    """Return whether a name matches one of others; both may be patterns."""
    for other in others:
        for pattern, text in ((other, name), (name, other)):
            regexp = "[a-z0-9_.-]+".join(map(re.escape, pattern.split(PLACEHOLDER)))
            if text == pattern or re.fullmatch(regexp, text):
                return True
    return False

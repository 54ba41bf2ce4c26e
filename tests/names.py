"""Names that the package uses, and names that a page lists."""

import ast
import re

VARIABLE = "<>"


def find_names(package, methods, receivers=None):
    """Return the names given to methods such as ``increment``.

    The variable part of a name appears as ``<>``. A name that is not written
    at the call is reported as ``?file:line``, so that no call escapes.
    """
    names = set()
    for path in sorted(package.rglob("*.py")):
        tree = ast.parse(path.read_text())
        for node in ast.walk(tree):
            if _is_call(node, methods, receivers):
                place = f"?{path.name}:{node.lineno}"
                for value in _resolve(node.args[0], tree):
                    names |= _read_names(value, place)
    return sorted(names)


def _is_call(node, methods, receivers):
    if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
        return False
    if node.func.attr not in methods or not node.args:
        return False
    owner = node.func.value
    last = getattr(owner, "attr", None) or getattr(owner, "id", None)
    return receivers is None or last in receivers


def _resolve(node, tree):
    """Return what may be given: the argument, or all that its variable gets."""
    if not isinstance(node, ast.Name):
        return [node]
    values = [
        other.value
        for other in ast.walk(tree)
        if isinstance(other, ast.Assign)
        and any(isinstance(t, ast.Name) and t.id == node.id for t in other.targets)
    ]
    return values or [node]


def _read_names(node, place):
    if isinstance(node, ast.Constant):
        return {node.value}
    if isinstance(node, ast.IfExp):
        return _read_names(node.body, place) | _read_names(node.orelse, place)
    if isinstance(node, ast.JoinedStr):
        parts = (
            p.value if isinstance(p, ast.Constant) else VARIABLE for p in node.values
        )
        return {"".join(parts)}
    return {place}


def read_table_names(page):
    """Return the names in the first column of a page's tables."""
    names = re.findall(r"^\| `([^`]+)` \|", page.read_text(), re.MULTILINE)
    return sorted(re.sub(r"<[^>]*>", VARIABLE, name) for name in names)


def matches_name(name, others):
    """Tell whether a name is among others, of which some are patterns."""
    for other in others:
        for pattern, text in ((other, name), (name, other)):
            regexp = "[a-z0-9_.-]+".join(map(re.escape, pattern.split(VARIABLE)))
            if text == pattern or re.fullmatch(regexp, text):
                return True
    return False

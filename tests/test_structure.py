"""Which parts of the package may use which."""

import ast
from pathlib import Path

import redwingspring

from .base import RedwingspringTestCase

PACKAGE = Path(redwingspring.__file__).parent
# Modules without input or output that decisions may use.
BASE_MODULES = {"clock", "mappings", "registry", "routes"}
LIBRARIES = {
    "collections",
    "dataclasses",
    "itertools",
    "math",
    "random",
    "statistics",
    "threading",
    "time",
    "xxhash",
}
# The clocks that measure durations; the time of day may step.
CLOCKS = {"monotonic"}


def list_imports(path):
    """Return the imports of a module as pairs of level and name."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from ((0, alias.name.split(".")[0]) for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.level, (node.module or "").split(".")[0]


def list_attributes(path, name):
    """Return the attributes of a module that another one uses."""
    nodes = ast.walk(ast.parse(path.read_text()))
    attributes = [node for node in nodes if isinstance(node, ast.Attribute)]
    return {
        node.attr
        for node in attributes
        if isinstance(node.value, ast.Name) and node.value.id == name
    }


class PolicyTest(RedwingspringTestCase):
    """Decisions have no input or output, so that tests can replay load on them."""

    modules = sorted((PACKAGE / "policy").glob("*.py"))

    def test_decisions_import_no_other_part_and_no_input_or_output(self):
        siblings = {path.stem for path in self.modules}
        allowed = {0: LIBRARIES, 1: siblings, 2: BASE_MODULES}
        for path in self.modules:
            for level, name in list_imports(path):
                self.assertIn(name, allowed[level], path.name)

    def test_what_decisions_use_has_no_input_or_output(self):
        for name in BASE_MODULES:
            for level, imported in list_imports(PACKAGE / f"{name}.py"):
                allowed = {0: LIBRARIES | {"errors", "types"}, 1: BASE_MODULES}
                self.assertIn(imported, allowed[level] | {"errors"}, name)

    def test_decisions_start_no_thread_and_read_no_time_of_day(self):
        for path in self.modules:
            self.assertNotIn("Thread", list_attributes(path, "threading"))
            self.assertEqual(set(), list_attributes(path, "time") - CLOCKS)


class PlatformTest(RedwingspringTestCase):
    def test_only_the_composition_root_uses_the_adapters(self):
        users = set()
        for path in PACKAGE.rglob("*.py"):
            if path.parent.name != "platform":
                imports = list_imports(path)
                users |= {path.stem for level, name in imports if name == "platform"}
        self.assertEqual({"routedassembly"}, users)

"""Collects the names by which others know what the processes write and read."""

import ast
import dataclasses
import enum
import importlib
import pkgutil
import re
from pathlib import Path

import msgspec
import typer

import redwingspring
from redwingspring.cmdline import app
from redwingspring.defaults import KEYS
from redwingspring.registry import Registry

from .names import find_names

PACKAGE = Path(redwingspring.__file__).parent
METRIC_METHODS = {"increment", "set_gauge", "record_time"}
# Modules whose texts are the words of pages, headers and stored records.
PAGE_MODULES = (
    "addresses.py",
    "audit.py",
    "frames.py",
    "inspection.py",
    "logs.py",
    "pages.py",
    "status.py",
    "platform/documents.py",
    "platform/headers.py",
    "platform/pages.py",
    "platform/store.py",
    "validation.py",
)
_WORD = re.compile(r"[A-Za-z0-9_.:/@-]+")
_HEADER = re.compile(r"[A-Z][a-z]+(-[A-Z][a-z]+)+")
_SCHEMA_NAME = re.compile(r"^(?:struct|enum) (\w+)|^\s+(\w+) @(\d+)", re.MULTILINE)


def collect_outer_names():
    """Return all outer names, by the kind of their reader."""
    modules = list(_load_modules())
    return {
        "audit entries": find_names(PACKAGE, {"record"}, {"audit", "_audit"}),
        "command line": sorted(_list_options(typer.main.get_command(app), "")),
        "configuration keys": sorted(f"{k.name} {k.kind}" for k in KEYS.values()),
        "enumerations": sorted(filter(None, set(_list_enumerations(modules)))),
        "fields of log lines": sorted(_list_log_fields()),
        "fields of records": sorted(set(_list_record_fields(modules))),
        "headers": sorted(set(_list_headers())),
        "loggers": sorted(_list_loggers(modules)),
        "log events": find_names(PACKAGE, {"record"}, {"decisions", "_decisions"}),
        "metrics": find_names(PACKAGE, METRIC_METHODS),
        "registries": sorted(set(_list_registries(modules))),
        "schemas": sorted(_list_schema_names()),
        "words of pages": sorted(_list_page_words()),
    }


def _load_modules():
    for info in pkgutil.walk_packages(redwingspring.__path__, "redwingspring."):
        if not info.name.endswith("__main__"):
            yield importlib.import_module(info.name)


def _list_options(command, path):
    """Return the commands and their flags and arguments."""
    for parameter in command.params:
        names = parameter.opts + parameter.secondary_opts
        yield f"{path} {' '.join(names)}".strip()
    for name, part in getattr(command, "commands", {}).items():
        yield f"{path} {name}".strip()
        yield from _list_options(part, f"{path} {name}".strip())


def _list_enumerations(modules):
    """Return the values of each enumeration that are texts or exit codes."""
    for module in modules:
        for value in vars(module).values():
            if isinstance(value, type) and issubclass(
                value, (enum.StrEnum, enum.IntEnum)
            ):
                yield " ".join(sorted(str(member.value) for member in value))


def _list_record_fields(modules):
    """Return the fields of classes that are read or written by field name."""
    for module in modules:
        for value in vars(module).values():
            if not isinstance(value, type) or value.__module__ != module.__name__:
                continue
            if issubclass(value, msgspec.Struct):
                yield " ".join(value.__struct_encode_fields__)
            elif dataclasses.is_dataclass(value) and _is_written_out(module, value):
                yield " ".join(field.name for field in dataclasses.fields(value))


def _is_written_out(module, value):
    last = module.__name__.rpartition(".")[2]
    if last in ("messages", "settings", "routedsettings", "standinbehaviour"):
        return True
    return hasattr(value, "as_dict")


def _list_log_fields():
    for path in sorted(PACKAGE.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                owner = ast.unparse(node.func.value)
                if node.func.attr == "record" and owner.endswith("decisions"):
                    parts = ast.walk(node.args[0])
                    events = (p.value for p in parts if isinstance(p, ast.Constant))
                    event = " or ".join(text for text in events if text is not None)
                    given = sorted(keyword.arg or "**" for keyword in node.keywords)
                    yield f"{event}: {' '.join(given)}"


def _list_headers():
    for path in sorted(PACKAGE.rglob("*.py")):
        yield from (text for text in _list_texts(path) if _HEADER.fullmatch(text))


def _list_loggers(modules):
    for module in modules:
        logger = getattr(module, "logger", None)
        if logger is not None:
            yield logger.name


def _list_registries(modules):
    for module in modules:
        for value in vars(module).values():
            if isinstance(value, Registry):
                yield " ".join(value.list_names())


def _list_schema_names():
    for path in sorted(PACKAGE.glob("*.capnp")):
        for match in _SCHEMA_NAME.finditer(path.read_text()):
            name, member, number = match.groups()
            if name:
                group = name
            yield f"{path.stem} {group}" + (f".{member} @{number}" if member else "")


def _list_page_words():
    words = set()
    for name in PAGE_MODULES:
        words |= set(_list_texts(PACKAGE / name))
    return words


def _list_texts(path):
    """Return the single words among the texts of a module, docstrings left out."""
    tree = ast.parse(path.read_text())
    documented = {
        id(node.body[0].value)
        for node in ast.walk(tree)
        if isinstance(node, (ast.Module, ast.ClassDef, ast.FunctionDef))
        and node.body
        and isinstance(node.body[0], ast.Expr)
    }
    for node in ast.walk(tree):
        if (
            isinstance(node, ast.Constant)
            and isinstance(node.value, str)
            and id(node) not in documented
            and _WORD.fullmatch(node.value.strip())
        ):
            yield node.value.strip()

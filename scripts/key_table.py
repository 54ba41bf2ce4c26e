"""Write the table of configuration keys into docs/configuration.md."""

import sys
from pathlib import Path

from redwingspring.defaults import KEYS
from redwingspring.units import format_value

PAGE = Path(__file__).parent.parent / "docs" / "configuration.md"
BEGIN = "<!-- Table of keys, written by scripts/key_table.py. -->"
END = "<!-- End of the table of keys. -->"


def describe_allowed(key):
    """Return the values that a key may have."""
    if key.kind in ("choice", "names"):
        names = ", ".join(f"`{name}`" for name in key.list_choices())
        return names if key.kind == "choice" else f"a list of {names}"
    if key.kind == "flag":
        return "`true`, `false`"
    bounds = []
    if key.minimum is not None:
        bounds.append(f"from `{format_value(key, key.minimum)}`")
    if key.maximum is not None:
        bounds.append(f"to `{format_value(key, key.maximum)}`")
    return " ".join((key.kind, *bounds))


def describe_scope(key):
    """Return where a key may be set."""
    if key.exception_only:
        return "exceptions only"
    return "service" if key.scope == "service" else "service, data centre, target"


def format_table():
    """Return the table in Markdown."""
    lines = [
        "| key | meaning | allowed | default | set for |",
        "| --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| `{key.name}` | {key.doc} | {describe_allowed(key)} "
        f"| `{format_value(key, key.default)}` | {describe_scope(key)} |"
        for key in KEYS.values()
    ]
    return "\n".join(lines)


def update_page(text):
    """Return the text of the page with the current table."""
    before, rest = text.split(BEGIN)
    after = rest.split(END)[1]
    return f"{before}{BEGIN}\n{format_table()}\n{END}{after}"


def main():
    """Update the page; return the exit code."""
    PAGE.write_text(update_page(PAGE.read_text()))
    return 0


if __name__ == "__main__":
    sys.exit(main())

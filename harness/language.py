"""Scenario files: parsing into statements.

A scenario is a text file with one statement a line: a verb, words, and
options of the form ``name=value``. The lines ``fleet``, ``steps`` and
``expect`` begin the sections.
"""

from dataclasses import dataclass, field

from lark import Lark, Transformer, UnexpectedInput

GRAMMAR = r"""
start: _NL? section+
section: HEADING (STRING)? _NL statement*
statement: word (word | option)* _NL
option: OPTION word
?word: WORD | STRING
HEADING.3: /(scenario|fleet|steps|expect)(?=[ \t]*("|\r?\n))/
OPTION.2: /[a-z_.-]+=/
WORD: /[^\s"=#]+/
STRING: /"[^"\n]*"/
COMMENT: /#[^\n]*/
_NL: /(\r?\n[ \t]*(#[^\n]*)?)+/
%import common.WS_INLINE
%ignore WS_INLINE
%ignore COMMENT
"""
_parser = Lark(GRAMMAR, parser="lalr", propagate_positions=True)


class ScenarioError(Exception):
    """A scenario file is invalid, or a step could not be carried out."""


@dataclass(frozen=True)
class Statement:
    """One line of a scenario.

    Attributes
    ----------
    line : int
        Line number in the file.
    verb : str
        First word.
    words : tuple of str
        The other words.
    options : dict of str to str
        Values by name.
    """

    line: int
    verb: str
    words: tuple
    options: dict

    def __str__(self):
        options = [f"{name}={value}" for name, value in self.options.items()]
        return " ".join((self.verb, *self.words, *options))


@dataclass(frozen=True)
class Scenario:
    """A parsed scenario file.

    Attributes
    ----------
    name : str
        Title.
    header, fleet, steps, expect : tuple of Statement
        The statements of each section.
    """

    name: str
    header: tuple
    fleet: tuple
    steps: tuple
    expect: tuple = field(default=())

    def find_all(self, verb):
        """Return the header statements with a verb."""
        return [s for s in self.header if s.verb == verb]


class _Builder(Transformer):
    def start(self, sections):
        return sections

    def section(self, parts):
        heading, *rest = parts
        title = ""
        if rest and isinstance(rest[0], str):
            title = rest.pop(0)
        return str(heading), title, tuple(rest)

    def statement(self, parts):
        words = [part for part in parts if isinstance(part, str)]
        options = dict(part for part in parts if isinstance(part, tuple))
        line = getattr(parts[0], "line", 0)
        return Statement(line, str(words[0]), tuple(map(str, words[1:])), options)

    def option(self, parts):
        name, value = parts
        return name[:-1], str(value)

    def STRING(self, token):
        return token.update(value=token[1:-1])


def parse_scenario(text, name="scenario"):
    """Return the scenario in a text.

    Raises
    ------
    ScenarioError
        With file and line of the first fault.
    """
    try:
        sections = _Builder().transform(_parser.parse(text.strip() + "\n"))
    except UnexpectedInput as error:
        detail = f"{name}:{error.line}: unexpected text at column {error.column}"
        raise ScenarioError(detail) from error
    found = {heading: (title, body) for heading, title, body in sections}
    missing = [h for h in ("scenario", "fleet", "steps", "expect") if h not in found]
    if missing:
        raise ScenarioError(f"{name}: section {missing[0]!r} is missing")
    title, header = found["scenario"]
    return Scenario(
        title, header, found["fleet"][1], found["steps"][1], found["expect"][1]
    )


def parse_duration(text):
    """Return seconds from a text such as ``250ms`` or ``4s``."""
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text.removesuffix("s"))


def parse_numbers(text):
    """Return the numbers of a text such as ``0-3,7``."""
    numbers = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        numbers.extend(range(int(first), int(last or first) + 1))
    return numbers

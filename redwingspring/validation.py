"""Validation of files of each kind, and reports of the result."""

from dataclasses import dataclass

from .configuration import parse_configuration
from .errors import DocumentError
from .hostlist import parse_host_list
from .registry import Registry
from .routedsettings import is_routed, parse_routed_settings
from .settings import parse_settings
from .yamlsource import read_file

document_kinds = Registry("kind of document")


@dataclass(frozen=True)
class CheckReport:
    """The result of checking one file.

    Attributes
    ----------
    file : str
        Path of the file.
    kind : str
        Name of the kind of document.
    problems : tuple of Problem
        Empty for a valid file.
    summary : str
        Counts or names of what a valid file declares; empty for an invalid one.
    """

    file: str
    kind: str
    problems: tuple = ()
    summary: str = ""

    def to_json(self):
        """Return the report as an object for JSON.

        Returns
        -------
        dict
            ``file``, ``kind``, ``valid``, ``summary`` and ``problems``.
        """
        return {
            "file": self.file,
            "kind": self.kind,
            "valid": not self.problems,
            "summary": self.summary,
            "problems": serialize_problems(self.problems),
        }

    def to_text(self):
        """Return the report as lines of text.

        Returns
        -------
        str
            One line for each problem, or one line for a valid file.
        """
        if self.problems:
            return "\n".join(self.problems)
        return f"{self.file}: valid {self.kind}: {self.summary}"


def serialize_problems(problems):
    """Return problems as objects for JSON.

    Parameters
    ----------
    problems : iterable of Problem
        The problems.

    Returns
    -------
    list of dict
        With ``file``, ``line``, ``key`` and ``message``.
    """
    return [
        {
            "file": problem.file,
            "line": problem.line,
            "key": problem.key,
            "message": problem.message,
        }
        for problem in problems
    ]


def check_file(path, kind):
    """Check a file without applying its content.

    Parameters
    ----------
    path : pathlib.Path
        The file.
    kind : str
        Name of a registered kind in ``document_kinds``.

    Returns
    -------
    CheckReport
        The result.
    """
    summarize = document_kinds.find(kind)
    try:
        return CheckReport(str(path), kind, (), summarize(read_file(path), str(path)))
    except DocumentError as error:
        return CheckReport(str(path), kind, error.problems)


@document_kinds.register("configuration")
def _summarize_configuration(text, name):
    configuration = parse_configuration(text, name)
    targets = sum(len(service.targets) for service in configuration.services.values())
    return ", ".join(
        (
            _format_count(len(configuration.services), "service"),
            _format_count(targets, "target"),
            _format_count(len(configuration.defaults), "default"),
            _format_count(len(configuration.exceptions), "exception"),
        )
    )


@document_kinds.register("settings")
def _summarize_settings(text, name):
    parse = parse_routed_settings if is_routed(text) else parse_settings
    settings = parse(text, name)
    return f"host {settings.name} in data centre {settings.data_centre}"


@document_kinds.register("hosts")
def _summarize_hosts(text, name):
    hosts = parse_host_list(text, name)
    leaving = sum(host.state == "leaving" for host in hosts)
    return f"{_format_count(len(hosts), 'host')}, {leaving} of them leaving"


def _format_count(number, noun):
    return f"{number} {noun}{'' if number == 1 else 's'}"

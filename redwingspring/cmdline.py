"""Command-line interface."""

import json
import logging
import signal
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import typer

from .errors import DocumentError, PageError, RedwingspringError
from .startup import DeferredSignal, pause_gc
from .version import __version__
from .yamlsource import read_file

# Each command imports the modules that it needs when it runs, because a restarted host
# serves no callers until its process has finished importing.

logger = logging.getLogger(__name__)

app = typer.Typer(
    help="Load balancer for servers whose load shifts in milliseconds.",
    no_args_is_help=True,
    # The local variables of a traceback may contain API keys.
    pretty_exceptions_show_locals=False,
)
standin = typer.Typer(help="Run stand-ins for external systems, for tests.")
app.add_typer(standin, name="standin")

EXIT_CHANGED = 1
EXIT_WARNINGS = 1
EXIT_INVALID = 2

DocumentKind = StrEnum(
    "DocumentKind", ["configuration", "hosts", "settings", "platform"]
)
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]


def _print_version(value):
    if value:
        typer.echo(f"redwingspring {__version__}")
        raise typer.Exit


@app.callback()
def main(
    version: Annotated[
        bool,
        typer.Option("--version", callback=_print_version, is_eager=True),
    ] = False,
):
    """Load balancer for servers whose load shifts in milliseconds."""


@app.command()
def entry(
    settings: Annotated[Path, typer.Option(help="YAML file of this host's settings.")],
):
    """Run the entry process of this host until SIGTERM."""
    hangup_signal = DeferredSignal(signal.SIGHUP)
    with pause_gc():
        from .routedprocess import run_process
        from .routedsettings import is_routed

    try:
        text = read_file(settings)
        if is_routed(text):
            run_process(text, settings, hangup_signal)
        else:
            hangup_signal.restore_default()
            run_with_configuration_service(text, settings)
    except RedwingspringError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_INVALID) from error


def run_with_configuration_service(text, path):
    """Run an entry process that uses the configuration service."""
    with pause_gc():
        from .control import Entry
        from .logs import configure_logs
        from .settings import parse_settings
        from .signals import handle_signals

        parsed = parse_settings(text, str(path))
        configure_logs(parsed.log_style, parsed.log_level)
        process = Entry(parsed)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: process.drain())
    process.start()
    handle_signals(process.wait)


@app.command()
def check(
    file: Annotated[Path, typer.Argument(help="The file to check.")],
    kind: Annotated[
        DocumentKind | None,
        typer.Option(
            help="What the file is: the published configuration, the settings of "
            "one host, the list of hosts, or the JSON configuration of a platform. "
            "Default: platform if it has its keys, otherwise configuration."
        ),
    ] = None,
    against: Annotated[
        Path | None,
        typer.Option(help="Platform configuration in force, to compare with."),
    ] = None,
    as_json: JsonOption = False,
):
    """Check a file without publishing or changing it.

    Prints each problem as FILE:LINE: KEY: MESSAGE. The exit code is 0 for a
    valid file, 1 for a valid platform configuration with warnings and 2 for a
    file that is invalid or cannot be read.
    """
    from .validation import check_file

    if against is not None and kind not in (None, DocumentKind.platform):
        typer.echo("--against applies only to --kind platform", err=True)
        raise typer.Exit(EXIT_INVALID)
    if against is not None or kind is DocumentKind.platform or _is_platform(file, kind):
        _check_platform(file, against, as_json)
        return
    report = check_file(file, (kind or DocumentKind.configuration).value)
    _print_output(report.to_json() if as_json else report.to_text())
    if report.problems:
        raise typer.Exit(EXIT_INVALID)


def _is_platform(path, kind):
    """Tell whether a file of unstated kind is a configuration of a platform."""
    if kind is not None:
        return False
    from .routedassembly import is_platform_configuration

    try:
        return is_platform_configuration(read_file(path))
    except DocumentError:
        return False


def _check_platform(path, path_in_force, as_json):
    from .logs import escape_controls
    from .routedassembly import check_configuration

    paths = [path] if path_in_force is None else [path, path_in_force]
    try:
        texts = [text for p in paths for text in (read_file(p), str(p))]
    except DocumentError as error:
        _exit_with_error(error, as_json)
    report = check_configuration(*texts)
    if as_json:
        _print_output(report.to_json())
    else:
        for line in report.to_text().split("\n"):
            typer.echo(escape_controls(line))
    if report.problems:
        raise typer.Exit(EXIT_INVALID)
    if report.warnings:
        raise typer.Exit(EXIT_WARNINGS)


@app.command()
def explain(
    file: Annotated[Path, typer.Argument(help="A configuration file.")],
    service: Annotated[str, typer.Option(help="Name of the service.")],
    target: Annotated[
        str | None, typer.Option(help="ip:port of one target of the service.")
    ] = None,
    key: Annotated[
        str | None, typer.Option(help="One key, such as target.slots. Default: all.")
    ] = None,
    as_json: JsonOption = False,
):
    """Show the values in force and the default or exception that sets each of them.

    Each value is shown with the line of the file that sets it and, for an
    exception, with its reason. The exit code is 2 when the file is invalid or
    the service, target or key does not exist.
    """
    from .explanation import explain as explain_values

    configuration = _load_configuration(file, as_json)
    try:
        explanations = explain_values(configuration, service, target, key)
    except RedwingspringError as error:
        _exit_with_error(error, as_json)
    if as_json:
        _print_output([item.to_json() for item in explanations])
    else:
        _print_output("\n".join(item.to_text() for item in explanations))


@app.command()
def diff(
    old: Annotated[Path, typer.Argument(help="The configuration file in force.")],
    new: Annotated[Path, typer.Argument(help="The file that would replace it.")],
    as_json: JsonOption = False,
):
    """Show what would change if one configuration file replaced another.

    Compares services, targets and the values in force; comments and order are
    ignored. The exit code is 0 for no change, 1 for changes and 2 when a
    file is invalid.
    """
    from .comparison import compare, describe_changes

    before = _load_configuration(old, as_json)
    changes = compare(before, _load_configuration(new, as_json))
    if as_json:
        _print_output([change.to_json() for change in changes])
    else:
        _print_output("\n".join(describe_changes(changes)) or "no change")
    if changes:
        raise typer.Exit(EXIT_CHANGED)


def _load_configuration(path, as_json):
    from .configuration import parse_configuration

    try:
        return parse_configuration(read_file(path), str(path))
    except DocumentError as error:
        _exit_with_error(error, as_json)


def _exit_with_error(error, as_json):
    if not as_json:
        typer.echo(str(error), err=True)
    elif isinstance(error, DocumentError):
        from .validation import serialize_problems

        _print_output({"problems": serialize_problems(error.problems)})
    else:
        _print_output({"problems": [{"message": str(error)}]})
    raise typer.Exit(EXIT_INVALID) from error


def _print_output(output):
    typer.echo(output if isinstance(output, str) else json.dumps(output, indent=2))


@app.command()
def status(
    url: Annotated[str, typer.Argument(help="http://ip:port of an entry host.")],
    service: Annotated[
        str | None,
        typer.Option(help="Ask whether the host accepts requests for this service."),
    ] = None,
    request: Annotated[
        str | None,
        typer.Option(help="Ask for the outcome of the request with this id."),
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
):
    """Query the status of an entry host; the exit code is the result.

    The exit codes are listed in docs/status-page.md.
    """
    from .inspection import ExitCode, inspect_host, inspect_request, inspect_service
    from .logs import escape_controls

    if service is not None and request is not None:
        typer.echo("--service and --request are mutually exclusive", err=True)
        raise typer.Exit(ExitCode.USAGE)
    try:
        if service is not None:
            answer = inspect_service(url, service)
        elif request is not None:
            answer = inspect_request(url, request)
        else:
            answer = inspect_host(url)
    except PageError as error:
        raise _report_page_error(error) from error
    if as_json:
        typer.echo(json.dumps(answer.document))
    else:
        for line in answer.text.rstrip("\n").split("\n"):
            typer.echo(escape_controls(line))
    raise typer.Exit(answer.code)


@app.command()
def audit(
    url: Annotated[str, typer.Argument(help="http://ip:port of an entry host.")],
    after: Annotated[
        int, typer.Option(min=0, help="Print only entries after this number.")
    ] = 0,
    follow: Annotated[
        bool, typer.Option("--follow", help="Wait for new entries and print them.")
    ] = False,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON lines.")] = False,
):
    """Print the audit trail of an entry host."""
    from .audit import format_entry
    from .inspection import read_audit

    try:
        for part in read_audit(url, after, follow):
            if part.notice is not None:
                typer.echo(part.notice, err=True)
            elif as_json:
                typer.echo(json.dumps(part.entry))
            else:
                typer.echo(format_entry(part.entry))
    except PageError as error:
        raise _report_page_error(error) from error


def _report_page_error(error):
    """Print an error and return the typer exit with its exit code."""
    from .inspection import ExitCode, NoAnswerError

    typer.echo(str(error), err=True)
    unanswered = isinstance(error, NoAnswerError)
    return typer.Exit(ExitCode.NO_ANSWER if unanswered else ExitCode.INVALID_RESPONSE)


@app.command()
def load(
    url: Annotated[str, typer.Argument(help="URL of each request.")],
    rate: Annotated[float, typer.Option(help="Requests per second.")],
    duration: Annotated[float, typer.Option(help="Duration of the load in seconds.")],
    method: Annotated[str, typer.Option(help="HTTP method.")] = "GET",
    body_bytes: Annotated[
        int, typer.Option(help="Length of each request body in bytes.")
    ] = 0,
    connections: Annotated[
        int, typer.Option(help="Maximum number of concurrent connections.")
    ] = 64,
    warm_up: Annotated[
        float, typer.Option(help="Initial seconds left out of the result.")
    ] = 0.0,
    timeout: Annotated[
        float, typer.Option(help="Timeout of a request in seconds.")
    ] = 10.0,
    seed: Annotated[
        int | None,
        typer.Option(
            help="Seed of Poisson arrivals; without a seed, requests are evenly spaced."
        ),
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
    any_address: Annotated[
        bool, typer.Option(help="Allow addresses other than loopback.")
    ] = False,
):
    """Send open-loop load and print latency percentiles."""
    from .load import LoadGenerator, LoadPlan, render_result

    plan = LoadPlan(
        url, rate, duration, method, body_bytes, connections, warm_up, timeout, seed
    )
    try:
        plan.check(any_address)
    except RedwingspringError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_INVALID) from error
    typer.echo(render_result(LoadGenerator(plan).run(), as_json))


@standin.command("config")
def standin_config(
    listen: Annotated[str, typer.Option(help="ip:port to listen on.")],
    configuration: Annotated[Path, typer.Option(help="YAML configuration.")],
    hosts: Annotated[Path, typer.Option(help="YAML host list.")],
):
    """Run a stand-in for the configuration service."""
    from .standinconfig import ConfigurationStandIn

    service = ConfigurationStandIn(listen)
    service.publish("configuration", configuration.read_text())
    service.publish("hosts", hosts.read_text())
    service.run()


@standin.command("target")
def standin_target(
    listen: Annotated[str, typer.Option(help="ip:port to listen on.")],
    slots: Annotated[
        int, typer.Option(help="Number of requests run concurrently.")
    ] = 3,
    work_ms: Annotated[
        float, typer.Option(help="Processing time of a request in milliseconds.")
    ] = 5.0,
    connections: Annotated[
        int, typer.Option(help="Maximum number of concurrent connections.")
    ] = 250,
    latency: Annotated[
        float, typer.Option(help="Factor by which work-ms is multiplied.")
    ] = 1.0,
    cold_ms: Annotated[
        float, typer.Option(help="Minimum duration of a cold start in milliseconds.")
    ] = 0.0,
    cold_responses: Annotated[
        int, typer.Option(help="Minimum number of complete responses in a cold start.")
    ] = 0,
    cold_slots: Annotated[
        int, typer.Option(help="Number of requests run concurrently in cold start.")
    ] = 1,
    behaviour: Annotated[
        str, typer.Option(help="Further fields of the behaviour, as a JSON object.")
    ] = "{}",
):
    """Run a stand-in for a target."""
    from .standinbehaviour import TargetBehaviour
    from .standintarget import TargetStandIn

    target_behaviour = TargetBehaviour(
        slots=slots,
        work_s=work_ms / 1000,
        connections=connections,
        latency=latency,
        cold_s=cold_ms / 1000,
        cold_responses=cold_responses,
        cold_slots=cold_slots,
    )
    try:
        target_behaviour = target_behaviour.change(json.loads(behaviour))
    except (TypeError, ValueError) as error:
        typer.echo(f"behaviour: {error}", err=True)
        raise typer.Exit(EXIT_INVALID) from error
    TargetStandIn(listen, target_behaviour).run()

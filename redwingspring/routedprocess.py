"""Process of an entry host that follows a store.

``python -m redwingspring.routedprocess SETTINGS`` starts it without the command line,
whose import would delay the first response after a restart.
"""

import logging
import os
import signal
import sys
import threading
from pathlib import Path

from .errors import RedwingspringError
from .listeners import open_listener
from .signals import handle_signals
from .startup import DeferredSignal, pause_gc
from .threads import start_thread
from .yamlsource import read_file

# The module is also run as a script, whose name is not below that of the package.
logger = logging.getLogger("redwingspring.routedprocess")

EXIT_INVALID = 2
# Wait for space in the queue of log lines, and again for the last lines to be written.
# Both are part of the time between the end of the shutdown and the grace period.
LOG_WAIT_S = 0.15

_reload_lock = threading.Lock()


def run_process(text, path, hangup_signal):
    """Run the entry process until it stops.

    Parameters
    ----------
    text : str
        The host's settings.
    path : pathlib.Path
        YAML file that they were read from.
    hangup_signal : DeferredSignal
        SIGHUP, which reads the settings again.

    Raises
    ------
    RedwingspringError
        If the settings are invalid or the process cannot start.
    """
    with pause_gc():
        from .routedsettings import parse_routed_settings

        settings = parse_routed_settings(text, str(path))
        addresses = (settings.address, settings.directory_address)
        listeners = {address: open_listener(address) for address in addresses}

        from .logs import configure_logs
        from .routedentry import RoutedEntry

        writer = configure_logs("json", settings.log_level, sys.stdout)
        process = RoutedEntry(settings, listeners)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: process.drain())
    process.start()
    # Reading the file may take long, and the main thread also handles SIGTERM.
    hangup_signal.set_handler(
        lambda *_: start_thread("reload", reload_settings, process, path)
    )
    handle_signals(process.wait)
    writer.stop(LOG_WAIT_S)
    # Threads that wait for targets would keep the interpreter from exiting.
    os._exit(0)


def reload_settings(process, path):
    """Reload the settings; keep the current ones if the file is invalid.

    Parameters
    ----------
    process : RoutedEntry
        The running process.
    path : pathlib.Path
        YAML file of the host's settings.
    """
    from .routedsettings import parse_routed_settings

    # The last one to read the file is also the last one to apply it.
    with _reload_lock:
        try:
            process.reload(parse_routed_settings(read_file(path), str(path)))
        except RedwingspringError as error:
            fields = {"cause": str(error)}
            logger.warning("settings not read again", extra={"fields": fields})


def main(arguments):
    """Run the process from its command-line arguments.

    Parameters
    ----------
    arguments : list of str
        The path of the settings file.

    Returns
    -------
    int
        Exit code of a process that could not start.
    """
    hangup_signal = DeferredSignal(signal.SIGHUP)
    if len(arguments) != 1:
        print("usage: python -m redwingspring.routedprocess SETTINGS", file=sys.stderr)
        return EXIT_INVALID
    path = Path(arguments[0])
    try:
        run_process(read_file(path), path, hangup_signal)
    except RedwingspringError as error:
        print(error, file=sys.stderr)
    return EXIT_INVALID


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Logging set-up with an option for JSON lines."""

import atexit
import json
import logging
import queue
import sys
import time
import unicodedata
from logging.handlers import QueueHandler, QueueListener

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
# Lines wait here while standard error is blocked; more are dropped.
MAX_QUEUED_LINES = 5000
STOP_WAIT_S = 2.0
# Control, format, line-separator and paragraph-separator characters.
_UNSAFE_CATEGORIES = frozenset(("Cc", "Cf", "Cs", "Zl", "Zp"))


def escape_controls(text, limit=None):
    r"""Return text without characters that end a line or steer a terminal.

    Parameters
    ----------
    text : str
        Any text, for example from a published document.
    limit : int or None, default=None
        Largest number of characters kept.

    Returns
    -------
    str
        The text on one line; a line feed appears as ``\n``.
    """
    cut = ""
    if limit is not None and len(text) > limit:
        cut = f" ({len(text) - limit} characters cut)"
        text = text[:limit]
    if not text.isprintable():
        text = "".join(
            char.encode("unicode_escape").decode()
            if unicodedata.category(char) in _UNSAFE_CATEGORIES
            else char
            for char in text
        )
    return text + cut


class TextFormatter(logging.Formatter):
    """Format a record as one line; traceback lines follow indented."""

    def __init__(self):
        super().__init__(TEXT_FORMAT)

    def formatMessage(self, record):
        """Return the line of a record.

        Parameters
        ----------
        record : logging.LogRecord
            The record to format.

        Returns
        -------
        str
            One line, with the request id where there is one.
        """
        line = escape_controls(super().formatMessage(record))
        request_id = getattr(record, "request_id", None)
        if request_id is not None:
            line += f" request {escape_controls(str(request_id))}"
        for name, value in getattr(record, "fields", {}).items():
            line += f" {name}={escape_controls(str(value))}"
        return line

    def formatException(self, ei):
        """Return a traceback whose lines cannot pass for log lines.

        Parameters
        ----------
        ei : tuple
            Exception information.

        Returns
        -------
        str
            Indented lines.
        """
        lines = super().formatException(ei).splitlines()
        return "\n".join("    " + escape_controls(line) for line in lines)


class JsonFormatter(logging.Formatter):
    """Format a record as one JSON object on one line."""

    def format(self, record):
        """Return the record as JSON text.

        Parameters
        ----------
        record : logging.LogRecord
            The record to format.

        Returns
        -------
        str
            One line.
        """
        fields = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
            + f".{int(record.msecs):03d}Z",
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        for name in ("request_id", "audit"):
            value = getattr(record, name, None)
            if value is not None:
                fields[name] = value
        fields.update(getattr(record, "fields", {}))
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields, default=str)


class DroppingQueueHandler(QueueHandler):
    """Hand lines to the writer thread; drop them while its queue is full.

    A reader of standard error that stops reading must not stop requests.

    Parameters
    ----------
    lines : queue.Queue
        Bounded queue of formatted records.
    """

    def __init__(self, lines):
        super().__init__(lines)
        self.dropped = 0

    def enqueue(self, record):
        """Add a record, or count it as dropped.

        Parameters
        ----------
        record : logging.LogRecord
            A formatted record.
        """
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class LogWriter(QueueListener):
    """Write queued lines in a thread of its own."""

    def stop(self):
        """Write the lines still queued, as far as a few seconds allow."""
        thread, self._thread = self._thread, None
        if thread is None:
            return
        # A reader that stopped reading must not keep the process from ending.
        try:
            self.queue.put(self._sentinel, timeout=STOP_WAIT_S)
        except queue.Full:
            return
        thread.join(STOP_WAIT_S)


def count_dropped():
    """Return how many lines were dropped since the logs were set up.

    Returns
    -------
    int
        Lines of the package's logger.
    """
    handlers = logging.getLogger(__package__).handlers
    return sum(getattr(handler, "dropped", 0) for handler in handlers)


def configure_logs(style="text", level="INFO", stream=None):
    """Send the package's log lines to standard error.

    Parameters
    ----------
    style : {"text", "json"}, default="text"
        Form of the lines.
    level : str, default="INFO"
        Lowest level that is written.
    stream : file-like or None, default=None
        Where the lines go instead of standard error.

    Returns
    -------
    LogWriter
        Writes the lines; its ``stop`` writes those still queued.
    """
    handler = DroppingQueueHandler(queue.Queue(MAX_QUEUED_LINES))
    handler.setFormatter(JsonFormatter() if style == "json" else TextFormatter())
    writer = LogWriter(handler.queue, logging.StreamHandler(stream or sys.stderr))
    writer.start()
    atexit.register(writer.stop)
    package_logger = logging.getLogger(__package__)
    package_logger.handlers[:] = [handler]
    package_logger.setLevel(level)
    package_logger.propagate = False
    return writer

"""Set-up of logging as text or JSON lines."""

import atexit
import json
import logging
import queue
import sys
import time
import unicodedata
from logging.handlers import QueueHandler, QueueListener

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
# Lines are queued while standard error is blocked; when the queue is full, they
# are dropped.
MAX_QUEUED_LINES = 5000
STOP_WAIT_S = 2.0
# Control, format, surrogate, line-separator and paragraph-separator characters.
_UNSAFE_CATEGORIES = frozenset(("Cc", "Cf", "Cs", "Zl", "Zp"))


def escape_controls(text, limit=None):
    r"""Escape characters that end a line or control a terminal.

    Parameters
    ----------
    text : str
        Any text, for example from a published document.
    limit : int or None, default=None
        Number of characters after which the text is truncated.

    Returns
    -------
    str
        The text on one line; a line feed appears as ``\n``.
    """
    suffix = ""
    if limit is not None and len(text) > limit:
        suffix = f" ({len(text) - limit} characters cut)"
        text = text[:limit]
    if not text.isprintable():
        text = "".join(
            char.encode("unicode_escape").decode()
            if unicodedata.category(char) in _UNSAFE_CATEGORIES
            else char
            for char in text
        )
    return text + suffix


class TextFormatter(logging.Formatter):
    """Formats a record as one line, followed by an indented traceback if any."""

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
            One line, with the request id and the fields of the record, if any.
        """
        line = escape_controls(super().formatMessage(record))
        request_id = getattr(record, "request_id", None)
        if request_id is not None:
            line += f" request {escape_controls(str(request_id))}"
        for name, value in getattr(record, "fields", {}).items():
            line += f" {name}={escape_controls(str(value))}"
        return line

    def formatException(self, ei):
        """Return an indented traceback whose lines cannot pass for log lines.

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
    """Formats a record as one JSON object on one line."""

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
    """Queues records for the writer thread and drops them while the queue is full.

    Otherwise a process that stops reading standard error would block requests.

    Parameters
    ----------
    lines : queue.Queue
        Bounded queue of formatted records.
    """

    def __init__(self, lines):
        super().__init__(lines)
        self.dropped = 0

    def enqueue(self, record):
        """Queue a record, or count it as dropped if the queue is full.

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
    """Writes queued lines in a separate thread."""

    def stop(self, wait_s=STOP_WAIT_S):
        """Write the lines still queued, but give up after a while.

        Parameters
        ----------
        wait_s : float, default=2.0
            Seconds to wait for space in the queue, and again until it is written.
        """
        thread, self._thread = self._thread, None
        if thread is None:
            return
        # If standard error is blocked, the process must still be able to exit.
        try:
            self.queue.put(self._sentinel, timeout=wait_s)
        except queue.Full:
            return
        thread.join(wait_s)


def count_dropped_lines():
    """Return how many lines were dropped since logging was configured.

    Returns
    -------
    int
        Number of lines dropped by the package's logger.
    """
    handlers = logging.getLogger(__package__).handlers
    return sum(getattr(handler, "dropped", 0) for handler in handlers)


def configure_logs(style="text", level="INFO", stream=None):
    """Send the package's log lines to standard error.

    Parameters
    ----------
    style : {"text", "json"}, default="text"
        Format of the lines.
    level : str, default="INFO"
        Lowest level that is written.
    stream : file-like or None, default=None
        Stream to write to instead of standard error.

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

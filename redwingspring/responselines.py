"""Grammar of the lines of a response: status line, fields and chunk sizes.

The grammar is that of RFC 9110 and RFC 9112. A line feed without a carriage return
also ends a line; everything else that differs makes the response invalid, because
other HTTP parsers could read another response from it.
"""

import re
from http.client import HTTPException

EMPTY_LINES = (b"\r\n", b"\n")
MAX_HEAD_FIELDS = 100
MAX_HEAD_LINE_BYTES = 64 << 10
# Limits of interim responses and of trailers, which are read but not used.
MAX_SKIPPED_FIELDS = 64
MAX_SKIPPED_LINE_BYTES = 8192
# Python refuses to parse numbers with thousands of digits.
MAX_LENGTH_DIGITS = 18

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_TEXT = rb"[^\x00-\x08\x0a-\x1f\x7f]*"
_STATUS_LINE = re.compile(
    rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: (" + _TEXT + rb"))?\r?\n"
)
_FIELD_LINE = re.compile(rb"(" + _TOKEN + rb"):(" + _TEXT + rb")\r?\n")
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})([ \t]*(?:;" + _TEXT + rb")?)\r\n")
# The status 101 ends the exchange, so it is not interim.
_INTERIM_START = re.compile(rb"HTTP/1\.[01] 1(?!01)")
_INTERIM = re.compile(
    rb"HTTP/1\.[01] 1(?!01)[0-9]{2}(?: " + _TEXT + rb")?\r?\n"
    rb"(?:" + _TOKEN + rb":" + _TEXT + rb"\r?\n)*\r?\n"
)
_HEAD_END = re.compile(rb"\n\r?\n")


class InvalidResponse(HTTPException):
    """A response violates the grammar of HTTP."""


class InvalidFraming(InvalidResponse):
    """Other HTTP parsers could find another end of a response body."""


def parse_status_line(line):
    """Return the parts of a status line.

    Parameters
    ----------
    line : bytes
        The line with its end.

    Returns
    -------
    tuple of (int, int, str)
        HTTP version as 10 or 11, status and reason phrase.

    Raises
    ------
    InvalidResponse
        If the line is not a status line or the status is not in 100 to 599.
    """
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        raise InvalidResponse(f"invalid status line {line[:80]!r}")
    minor, status, reason = match.groups(b"")
    return 10 + int(minor), int(status), reason.decode("latin-1").strip()


def read_fields(stream, max_fields, max_line_bytes):
    """Read header or trailer fields up to the empty line after them.

    Parameters
    ----------
    stream : io.BufferedReader
        The stream.
    max_fields : int
        Maximum number of fields.
    max_line_bytes : int
        Maximum length of a line with its end, in bytes.

    Returns
    -------
    list of (str, str)
        Names as they were sent, and values without spaces around them.

    Raises
    ------
    InvalidResponse
        If a line is invalid.
    http.client.HTTPException
        If a line is too long, there are too many, or the stream ends before the
        empty line.
    """
    fields = []
    for _ in range(max_fields + 1):
        line = stream.readline(max_line_bytes)
        match = _FIELD_LINE.fullmatch(line)
        if match is not None:
            name, value = match.groups()
            fields.append((name.decode("ascii"), value.decode("latin-1").strip(" \t")))
        elif line in EMPTY_LINES:
            return fields
        else:
            raise _build_error(line, max_line_bytes)
    raise HTTPException(f"the response has over {max_fields} fields")


def _build_error(line, max_line_bytes):
    """Return the error for a line that is not a field."""
    if line.endswith(b"\n"):
        name = line.partition(b":")[0][:40]
        return InvalidResponse(f"invalid header line that starts with {name!r}")
    if len(line) == max_line_bytes:
        return HTTPException("a header line of the response is too long")
    return HTTPException("the connection ended within the head or the trailers")


def parse_framing(fields, version):
    """Return how the body of a response is delimited.

    Parameters
    ----------
    fields : list of (str, str)
        Header fields.
    version : int
        HTTP version, 10 or 11.

    Returns
    -------
    tuple of (int or None, bool)
        Declared length in bytes, and whether the body is chunked. Without both,
        the close of the connection delimits it.

    Raises
    ------
    InvalidFraming
        If the fields do not define one end of the body.
    """
    lengths = [value for name, value in fields if name.lower() == "content-length"]
    codings = [value for name, value in fields if name.lower() == "transfer-encoding"]
    if codings:
        if lengths or version < 11 or [c.lower() for c in codings] != ["chunked"]:
            raise InvalidFraming("the response has no single valid framing")
        return None, True
    if not lengths:
        return None, False
    length = lengths[0]
    if len(lengths) > 1 or not (length.isascii() and length.isdigit()):
        raise InvalidFraming("the response has no single valid length")
    if len(length) > MAX_LENGTH_DIGITS:
        raise InvalidFraming("the length of the response has too many digits")
    return int(length), False


def parse_chunk_line(line):
    """Return the size of a chunk and the size of its extensions.

    Parameters
    ----------
    line : bytes
        The line with its end.

    Returns
    -------
    tuple of (int, int)
        Both in bytes.

    Raises
    ------
    InvalidResponse
        If the line is malformed or not complete.
    """
    match = _CHUNK_LINE.fullmatch(line)
    if match is None:
        raise InvalidResponse(f"invalid chunk size {line[:80]!r}")
    return int(match[1], 16), len(match[2])


def measure_interim(data):
    """Return the length of the interim response at the start of received data.

    Parameters
    ----------
    data : bytes
        Data that was received so far.

    Returns
    -------
    int or None
        Number of bytes; 0 if the data may be the beginning of an interim response.
        None for everything else, also for an invalid interim response.
    """
    match = _INTERIM.match(data)
    if match is not None:
        return match.end()
    if _INTERIM_START.match(data) and not _HEAD_END.search(data):
        return 0
    return None

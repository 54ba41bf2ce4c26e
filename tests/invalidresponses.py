"""Responses that violate the grammar of HTTP, each made from a valid one."""

STATUS_LINES = (
    b"HTTP/1.1 000 No",
    b"HTTP/1.1 099 No",
    b"HTTP/1.1 600 No",
    b"HTTP/1.1 1000 No",
    b"HTTP/1.1 +20 No",
    b"HTTP/1.1 20 No",
    b"HTTP/1.1  OK",
    b"HTTP/1.1 ",
    b"HTTP/1.1",
    b"HTTP/1.1 200OK",
    b"HTTP/1.1 200\tOK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b" HTTP/1.1 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.2 200 OK",
    b"HTTP/2.0 200 OK",
    b"http/1.1 200 OK",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.1 200 O\rK",
)
FIELD_LINES = (
    b"A b: c",
    b"A\tb: c",
    b"A\x00b: c",
    b"A\x01: c",
    b"A\x7f: c",
    b"A(b): c",
    b"A\xe9: c",
    b"A : c",
    b"A\t: c",
    b": c",
    b"no colon",
    b" folded: c",
    b"\tfolded",
    b"A: b\x00c",
    b"A: b\x07c",
    b"A: b\x7fc",
    b"A: b\rc",
    b"A: b\r",
)
FRAMINGS = (
    b"Content-Length: 3\r\nContent-Length: 4",
    b"Content-Length: 3\r\nTransfer-Encoding: chunked",
    b"Content-Length: +3",
    b"Content-Length: 3, 4",
    b"Content-Length:",
    b"Content-Length: " + b"9" * 5000,
    b"Transfer-Encoding: gzip, chunked",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
)
INTERIM_LINES = (b"HTTP/1.1 103 Hints", b"HTTP/1.1 100 O\x00K", b"HTTP/1.1 1000 No")


def list_heads(fields):
    """Yield invalid responses of a head only.

    Parameters
    ----------
    fields : bytes
        Valid fields, each with its end, that do not frame the body.
    """
    status = b"HTTP/1.1 200 OK\r\n"
    length = b"Content-Length: 0\r\n"
    for line in STATUS_LINES:
        yield line + b"\r\n" + fields + length + b"\r\n"
    for line in FIELD_LINES:
        yield status + fields + line + b"\r\n" + length + b"\r\n"
    for lines in FRAMINGS:
        yield status + fields + lines + b"\r\n\r\n"
    valid = status + fields + length + b"\r\n"
    for line in FIELD_LINES:
        yield INTERIM_LINES[0] + b"\r\n" + line + b"\r\n\r\n" + valid
    for line in INTERIM_LINES[1:]:
        yield line + b"\r\n\r\n" + valid


def list_bodies(fields, content=b"body"):
    """Yield responses whose head is valid and whose chunked body is not."""
    head = b"HTTP/1.1 200 OK\r\n" + fields + b"Transfer-Encoding: chunked\r\n\r\n"
    start = head + b"%x\r\n" % len(content) + content + b"\r\n"
    for line in FIELD_LINES:
        yield start + b"0\r\n" + line + b"\r\n\r\n"
    for rest in (b"-1\r\n\r\n", b"+0\r\n\r\n", b"0x0\r\n\r\n", b"0;\x00\r\n\r\n"):
        yield start + rest
    yield start[:-2] + b"xx0\r\n\r\n"


def list_cut_bodies(fields, content=b"body"):
    """Yield responses whose body ends early: within a line, or within its size."""
    head = b"HTTP/1.1 200 OK\r\n" + fields + b"Transfer-Encoding: chunked\r\n\r\n"
    start = head + b"%x\r\n" % len(content) + content + b"\r\n"
    for rest in (b"", b"0", b"0\r", b"0\r\n", b"0\r\nA: b", b"0\r\nA: b\r\n"):
        yield start + rest
    # Sizes that exceed the memory, and those that a read can have.
    for size in (b"f" * 15, b"f" * 16):
        yield start + size + b"\r\nb"
    status = b"HTTP/1.1 200 OK\r\n"
    yield status + fields + b"Content-Length: " + b"9" * 18 + b"\r\n\r\n" + content

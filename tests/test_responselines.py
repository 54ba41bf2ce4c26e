import io
from http.client import HTTPException

from redwingspring.responselines import (
    InvalidResponse,
    measure_interim,
    parse_framing,
    parse_status_line,
    read_fields,
)

from .base import RedwingspringTestCase

HINTS = b"HTTP/1.1 103 Hints\r\nA: b\r\n\r\n"


class ResponseLinesTest(RedwingspringTestCase):
    def test_a_valid_status_line_is_accepted(self):
        """Strict checks must not reject what the grammar allows."""
        for line, parts in (
            (b"HTTP/1.1 200 OK\r\n", (11, 200, "OK")),
            (b"HTTP/1.0 599 \r\n", (10, 599, "")),
            (b"HTTP/1.1 100\r\n", (11, 100, "")),
            (b"HTTP/1.1 200 d\xe9j\xe0 vu\t1\n", (11, 200, "d\xe9j\xe0 vu\t1")),
        ):
            self.assertEqual(parts, parse_status_line(line))

    def test_valid_fields_are_read_without_the_spaces_around_values(self):
        lines = b"a:b\r\n!#$%&'*+-.^_`|~09Az: \t c \t\r\nE:\r\nF: \xe9\tg: h\n\r\n"
        expected = [("a", "b"), ("!#$%&'*+-.^_`|~09Az", "c"), ("E", "")]
        stream = io.BytesIO(lines + b"rest")
        self.assertEqual([*expected, ("F", "\xe9\tg: h")], read_fields(stream, 4, 99))
        self.assertEqual(b"rest", stream.read())

    def test_fields_beyond_a_limit_are_rejected_but_not_malformed(self):
        """A refusal whose trailers are only too long or cut stays a proof."""
        for lines in (b"a: b\r\n" * 3 + b"\r\n", b"a: " + b"b" * 99, b"a: b\r\n"):
            error = self.assertRaises(
                HTTPException, read_fields, io.BytesIO(lines), 2, 20
            )
            self.assertNotIsInstance(error, InvalidResponse)

    def test_a_body_is_framed_by_one_valid_field_at_most(self):
        self.assertEqual((None, False), parse_framing([("a", "b")], 11))
        self.assertEqual((7, False), parse_framing([("content-Length", "07")], 10))
        chunked = [("Transfer-encoding", "Chunked")]
        self.assertEqual((None, True), parse_framing(chunked, 11))
        self.assertRaises(InvalidResponse, parse_framing, chunked, 10)

    def test_an_interim_response_ends_at_its_own_empty_line(self):
        for rest in (b"", b"HTTP/1.1 200 OK\r\n\r\n", HINTS):
            self.assertEqual(len(HINTS), measure_interim(HINTS + rest))
            bare = HINTS.replace(b"\r", b"")
            self.assertEqual(len(bare), measure_interim(bare + rest))

    def test_only_a_cut_interim_response_is_waited_for(self):
        for end in range(len(b"HTTP/1.1 1"), len(HINTS)):
            self.assertEqual(0, measure_interim(HINTS[:end]))
        for data in (
            HINTS.replace(b"A:", b"A b:"),
            HINTS.replace(b"103", b"101"),
            HINTS.replace(b"103", b"1030"),
            b"HTTP/1.1 200 OK\r\n\r\n",
        ):
            self.assertIsNone(measure_interim(data), data)

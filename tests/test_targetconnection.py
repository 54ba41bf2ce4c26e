"""Writes that meet a reset, and responses that arrive before the request was sent."""

import contextlib
import functools
import threading
from unittest import mock

import urllib3
from expression import Ok

from redwingspring.caller import Caller
from redwingspring.callerconnections import read_page
from redwingspring.errors import PublicationError
from redwingspring.instancestate import Instance
from redwingspring.metrics import Metrics
from redwingspring.platform.store import StoreClient
from redwingspring.servicereader import ServiceReader
from redwingspring.storestate import StoreError
from redwingspring.targetconnection import TargetConnection, enable_reset_on_close

from .base import RedwingspringTestCase
from .standins import POSTS, SERVICE, HostFixture, SocketStandIn

PROBE = (
    b"HTTP/1.1 200 OK\r\nServer-Load: 0,0,3,100\r\nContent-Length: 0\r\n"
    b"Instance-Id: i-early\r\n\r\n"
)
OWN = b"Request-Id: %s\r\nResponse-Signature: s\r\n"
SUCCESS = b"HTTP/1.1 200 OK\r\n" + OWN
CHUNKED = SUCCESS + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"


class EarlyTarget(SocketStandIn):
    """Target that answers after the head of a request, then ends the connection."""

    def __init__(self, response, end="reset"):
        self.response = response
        self.end = end
        self.answered = threading.Event()
        self.connections = []
        super().__init__()

    def serve(self, connection):
        received = []
        while (head := connection.recv(65536)).startswith(b"GET /health"):
            connection.sendall(PROBE)
        if not head:
            return
        self.connections.append(received)
        request_id = head.lower().split(b"request-id: ")[1].split(b"\r\n")[0]
        connection.sendall(self.response.replace(b"%s", request_id))
        if self.end == "reset":
            enable_reset_on_close(connection)
            connection.close()
        elif self.end == "close":
            connection.shutdown(1)
        self.answered.set()
        with contextlib.suppress(OSError):
            while data := connection.recv(65536):
                received.append(data)


class EarlyResponseTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.host = HostFixture(self, instances=0)

    def start(self, response, end="reset"):
        """Make a new target the only one."""
        self.target = EarlyTarget(response, end)
        self.addCleanup(self.target.close)
        self.host.entry.directory.remove("i-early")
        instance = Instance("i-early", SERVICE, self.target.address, "akl-a", 3)
        self.host.entry.directory.put(instance)

    def ask(self, response, meets_reset=True):
        """Return the answer to an upload to a target that answers its head.

        The body is sent once the target has answered and reset the connection. With
        ``meets_reset``, the host does not look for a response before it writes.
        """
        self.start(response)
        return self.upload(meets_reset)

    def upload(self, meets_reset):
        has_response = TargetConnection._has_response

        def wait_for_answer(connection):
            self.target.answered.wait(5)
            return not meets_reset and has_response(connection)

        with mock.patch.object(TargetConnection, "_has_response", wait_for_answer):
            status, headers, body = self.host.ask("POST", POSTS, body=b"x" * 1000)
        return status, headers.get("request-run"), body

    def assert_failed(self, answer):
        self.assertEqual((502, "may-have-run"), answer[:2], answer)
        self.assertEqual(1, len(self.target.connections))

    def test_a_body_without_a_length_is_cut_if_a_write_met_the_reset(self):
        """The write consumes the reset, and the read after it ends cleanly."""
        for body in (b"", b"part of a body", b"x" * 3599):
            answer = self.ask(SUCCESS + b"\r\n" + body)
            self.assert_failed(answer)
            self.assertIn(b"truncated", answer[2])

    def test_a_body_without_a_length_is_cut_if_the_read_meets_the_reset(self):
        self.assert_failed(self.ask(SUCCESS + b"\r\npart", meets_reset=False))

    def test_a_body_with_an_end_stays_usable_after_a_failed_write(self):
        for end in (
            b"Content-Length: 4\r\n\r\nbody",
            CHUNKED[len(SUCCESS) :] + b"0\r\n\r\n",
        ):
            self.assertEqual((200, None, b"body"), self.ask(SUCCESS + end))

    def test_a_body_without_its_end_is_cut_after_a_failed_write(self):
        for response in (
            SUCCESS + b"Content-Length: 9\r\n\r\nbody",
            CHUNKED,
            CHUNKED + b"0\r\n",
            SUCCESS[:-4],
        ):
            for meets_reset in (True, False):
                self.assert_failed(self.ask(response, meets_reset))

    def test_a_refusal_stays_a_proof_after_a_failed_write(self):
        refused = b"Request-Id: %s\r\nNot-Executed: 1\r\n"
        for response in (
            b"HTTP/1.1 503 No\r\n" + refused + b"Content-Length: 0\r\n\r\n",
            b"HTTP/1.1 503 No\r\n" + refused + b"\r\n",
            b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n",
        ):
            self.assertEqual((503, "not-run"), self.ask(response)[:2], response)

    def test_a_body_without_a_length_is_whole_after_an_orderly_close(self):
        for version in (b"HTTP/1.1", b"HTTP/1.0"):
            response = SUCCESS.replace(b"HTTP/1.1", version) + b"\r\nwhole"
            self.start(response, "close")
            self.assertEqual((200, None, b"whole"), self.upload(False))

    def test_a_body_without_a_length_is_cut_by_any_failed_write(self):
        """Even an orderly close may follow a reset that a write consumed."""
        self.start(SUCCESS + b"\r\nwhole", "close")
        send_all = TargetConnection._send_all

        def fail(connection, data):
            if connection.started:
                self.target.answered.wait(5)
                raise BrokenPipeError
            send_all(connection, data)

        with mock.patch.object(TargetConnection, "_send_all", fail):
            self.assert_failed(self.upload(False))

    def test_a_connection_on_which_a_body_is_due_is_not_used_again(self):
        """The target would read the next request as the rest of the body."""
        for end in (
            b"Content-Length: 4\r\n\r\nbody",
            CHUNKED[len(SUCCESS) :] + b"0\r\n\r\n",
        ):
            self.start(SUCCESS + end, "stay open")
            for count in (1, 2):
                self.target.answered.clear()
                self.assertEqual((200, None, b"body"), self.upload(False))
                self.assertEqual(count, len(self.target.connections))
            self.assertEqual([[], []], self.target.connections)

    def test_a_response_without_content_that_brings_some_ends_its_connection(self):
        """What follows it could be taken for the response to the next request."""
        for status, rest in (
            (b"204 No", b"Content-Length: 4\r\n\r\n"),
            (b"204 No", b"Transfer-Encoding: chunked\r\n\r\n"),
            (b"204 No", b"\r\nbody"),
            (b"304 No", b"Content-Length: 4\r\n\r\nbody"),
        ):
            self.start(SUCCESS.replace(b"200 OK", status) + rest, "stay open")
            for count in (1, 2):
                answer = self.host.ask("POST", POSTS)
                self.assertEqual((int(status[:3]), b""), answer[::2], rest)
                self.assertEqual(count, len(self.target.connections))


class ClientTest(RedwingspringTestCase):
    """Clients whose write fails read on, because the response may have arrived."""

    def serve(self, fields, body):
        server = EarlyTarget(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n" + body)
        server.serve = lambda connection: connection.sendall(server.response)
        self.addCleanup(server.close)
        return server.address

    def check_result(self, read):
        """Assert that the result of a call is an error, and return it."""
        results = []
        self.check(None, lambda: results.append(read()))
        self.assertTrue(results[0].is_error(), results)
        return results[0].error

    def check(self, error, read):
        """Assert that a call raises an error while each write fails."""

        def fail(connection, data):
            if connection.sock is None:
                connection.connect()
            raise BrokenPipeError

        with mock.patch.object(urllib3.connection.HTTPConnection, "send", fail):
            if error is None:
                read()
            else:
                self.assertRaises(error, read)

    def test_a_published_value_without_a_length_is_cut(self):
        address = self.serve(b"Value-Revision: 7\r\n", b"part")
        reader = ServiceReader(f"http://{address}", "host", Metrics(None))
        self.check(PublicationError, lambda: reader.read("hosts"))

    def test_a_response_of_the_store_without_a_length_is_cut(self):
        address = self.serve(b"", b'{"items": [], "store_revision": 1}')
        self.check(StoreError, StoreClient(address, Metrics(None)).read_all)

    def test_a_control_page_without_a_length_is_cut(self):
        address = self.serve(b"", b"part")
        self.check_result(lambda: read_page(address, "/"))

    def test_a_response_to_the_caller_library_without_a_length_is_cut(self):
        for method in ("GET", "POST"):
            address = self.serve(b"", b"part")
            caller = Caller("desk", [address])
            self.addCleanup(caller.close)
            self.patch(caller, "_addresses", mock.Mock())
            caller._addresses.find.return_value = Ok([address])
            failure = self.check_result(functools.partial(caller.request, method, "/"))
            self.assertEqual("may-have-run", failure.verdict)

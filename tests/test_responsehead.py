"""Responses that are malformed, or whose connection ends within the head."""

import functools
import select
import socket
import time
from http.client import HTTPException

from expression import Ok

from redwingspring.caller import Caller
from redwingspring.callerconnections import read_page
from redwingspring.errors import PublicationError
from redwingspring.exchanges import Exchange
from redwingspring.feed import FeedClient
from redwingspring.feedmessages import Confirmation, FeedUpdate, encode_update
from redwingspring.instancepool import InstancePool
from redwingspring.instancestate import Instance, InstanceState
from redwingspring.metrics import Metrics
from redwingspring.platform import headers
from redwingspring.platform.store import StoreClient
from redwingspring.servicereader import ServiceReader
from redwingspring.storestate import StoreError, StorePosition
from redwingspring.targetconnection import StrictResponse

from .base import RedwingspringTestCase
from .invalidresponses import list_bodies, list_cut_bodies, list_heads
from .standins import POSTS, READS, SERVICE, HostFixture, SocketStandIn

PROBE = (
    b"HTTP/1.1 200 OK\r\nServer-Load: 0,0,3,100\r\nContent-Length: 0\r\n"
    b"Instance-Id: i-cut\r\n\r\n"
)
# The headers that frame the body come last, so that a cut loses them.
HEADS = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n"
    b"Content-Length: 10\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n",
)
REFUSAL = b"HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"


class ReadFailed(Exception):
    """A client rejected a response."""


class CuttingServer(SocketStandIn):
    """Server that sends the first bytes of a response and closes the connection."""

    def __init__(self, response):
        self.response = response
        self.cut_at = None
        self.requests = 0
        self.probe = PROBE
        super().__init__()

    def send_next(self, response):
        """Send another response from now on, as a whole."""
        self.response = response

    def serve(self, connection):
        while (head := connection.recv(65536)).startswith(b"GET /health"):
            connection.sendall(self.probe)
        if not head:
            return
        self.requests += 1
        fields = head.lower().split(b"request-id: ")
        request_id = fields[1].split(b"\r\n")[0] if len(fields) > 1 else b""
        response = self.response.replace(b"%s", request_id)
        connection.sendall(response[: self.cut_at])


class ParserTest(RedwingspringTestCase):
    def test_a_head_that_ends_early_is_rejected_at_each_byte(self):
        """The headers that frame the body may be among those that are missing."""
        for head in HEADS:
            accepted = [n for n in range(len(head) + 1) if self.accepts(head[:n])]
            self.assertEqual([len(head)], accepted)

    def accepts(self, data):
        """Tell whether a response that ends after these bytes is parsed."""
        ours, theirs = socket.socketpair()
        with ours, theirs:
            theirs.sendall(data)
            theirs.shutdown(socket.SHUT_WR)
            try:
                StrictResponse(ours, time.time() + 5, "GET").begin()
            except (OSError, HTTPException):
                return False
            return True


class TargetTest(RedwingspringTestCase):
    def start(self):
        self.host = HostFixture(self, instances=1)
        self.working = self.host.instances[0]
        # The other targets look better, so they get the first request.
        self.working.load = "2,0,3,100"

    def list_cut_targets(self, responses):
        """Yield a target for each line of a head after which it stops."""
        for response in responses:
            lines = response.partition(b"\r\n\r\n")[0].split(b"\r\n")
            for count in range(1, len(lines) + 1):
                target = CuttingServer(response)
                target.cut_at = len(b"\r\n".join(lines[:count])) + len(b"\r\n")
                instance = Instance("i-cut", SERVICE, target.address, "akl-a", 3)
                self.host.entry.directory.put(instance)
                yield target, (response, count)
                self.host.entry.directory.remove("i-cut")
                target.close()

    def test_a_read_is_answered_by_another_target(self):
        self.start()
        for target, case in self.list_cut_targets(HEADS):
            status, _, body = self.host.ask("GET", READS + "1")
            self.assertEqual((200, b"whole body"), (status, body), case)
            self.assertTrue(target.requests, case)

    def test_a_post_gets_neither_an_empty_success_nor_a_promise(self):
        self.start()
        for _, case in self.list_cut_targets((*HEADS, REFUSAL)):
            status, headers, _ = self.host.ask("POST", POSTS, body=b"x")
            seen = status, headers.get("request-run")
            self.assertEqual((502, "may-have-run"), seen, case)
            self.assertEqual([], self.working.runs, case)


class ClientTest(RedwingspringTestCase):
    def serve(self, response):
        server = CuttingServer(response)
        self.addCleanup(server.close)
        return server.address

    def test_a_control_page_that_ends_early_is_an_error(self):
        cut = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
        self.assertTrue(read_page(self.serve(cut), "/-/status").is_error())

    def test_a_published_value_that_ends_early_is_not_an_empty_one(self):
        cut = b"HTTP/1.1 200 OK\r\nValue-Revision: 7\r\n"
        reader = ServiceReader(f"http://{self.serve(cut)}", "host", Metrics(None))
        self.assertRaises(PublicationError, reader.read, "hosts")

    def test_a_store_response_that_ends_early_is_an_error(self):
        client = StoreClient(self.serve(b"HTTP/1.1 200 OK\r\n"), Metrics(None))
        self.assertRaises(StoreError, client.read_all)


class InvalidResponseTest(RedwingspringTestCase):
    """Each reader of responses must reject what other parsers could read otherwise."""

    def serve(self):
        server = CuttingServer(b"")
        self.addCleanup(server.close)
        return server

    def check_client(self, read, fields=b"", content=b"body"):
        """Assert that a client accepts valid responses and fails for all others."""
        server = self.serve()
        valid = b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s"
        server.send_next(valid % (fields, len(content), content))
        read(server.address)
        for response in (
            *list_heads(fields),
            *list_bodies(fields, content),
            *list_cut_bodies(fields, content),
        ):
            server.send_next(response)
            with self.assertRaises(ReadFailed, msg=response):
                read(server.address)

    def test_a_control_page(self):
        def read(address):
            if read_page(address, "/-/status").is_error():
                raise ReadFailed

        self.check_client(read)

    def test_a_published_value(self):
        def read(address):
            reader = ServiceReader(f"http://{address}", "host", Metrics(None))
            try:
                reader.read("hosts")
            except PublicationError as error:
                raise ReadFailed from error

        self.check_client(read, b"Value-Revision: 7\r\n")

    def test_a_response_of_the_store(self):
        def read(address):
            try:
                StoreClient(address, Metrics(None)).read_all()
            except StoreError as error:
                raise ReadFailed from error

        self.check_client(read, content=b'{"items": [], "store_revision": 1}')

    def test_a_feed(self):
        def read(address):
            try:
                FeedClient(address, Metrics(None)).read_all(0)
            except StoreError as error:
                raise ReadFailed from error

        update = FeedUpdate((), StorePosition(0, 1), True, Confirmation(0.0, 0))
        self.check_client(read, content=encode_update(update))

    def test_a_response_to_the_caller_library(self):
        for method in ("GET", "HEAD"):
            server = self.serve()
            caller = Caller("desk", [server.address])
            self.addCleanup(caller.close)
            find = functools.partial(lambda host, _: Ok([host]), server.address)
            self.patch(caller._addresses, "find", find)
            server.send_next(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            self.assertTrue(caller.request(method, "/").is_ok())
            responses = [*list_heads(b"")]
            if method == "GET":
                responses += [*list_bodies(b""), *list_cut_bodies(b"")]
            for response in responses:
                server.send_next(response)
                outcome = caller.request(method, "/")
                self.assertTrue(outcome.is_error(), response)
                self.assertEqual("may-have-run", outcome.error.verdict, response)

    def test_a_malformed_keep_alive_does_not_end_a_complete_response(self):
        """The caller library raised ValueError instead of returning the response."""
        server = self.serve()
        caller = Caller("desk", [server.address])
        self.addCleanup(caller.close)
        find = functools.partial(lambda host, _: Ok([host]), server.address)
        self.patch(caller._addresses, "find", find)
        for value in (b"\xb2", b"9" * 5000):
            # The server closes each connection, so none may be used again.
            fields = b"Connection: close\r\nContent-Length: 0\r\n"
            fields += b"Keep-Alive: timeout=" + value
            server.send_next(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n\r\n")
            self.assertTrue(caller.request("GET", "/").is_ok())


class InvalidTargetTest(RedwingspringTestCase):
    """An invalid response of a target is a failed attempt that may have run."""

    FIELDS = b"Request-Id: %s\r\nResponse-Signature: s\r\n"

    def start(self):
        self.host = HostFixture(self, instances=0)
        self.count = 0

    def ask(self, response, method="POST", probe=PROBE):
        """Return the answer to a request whose only target sends a response."""
        target = CuttingServer(response)
        target.probe = probe
        self.addCleanup(target.close)
        instance = Instance("i-cut", SERVICE, target.address, "akl-a", 3)
        self.host.entry.directory.put(instance)
        answer = self.host.ask(method, POSTS)
        self.host.entry.directory.remove("i-cut")
        target.close()
        self.requests = target.requests
        return answer

    def check(self, responses, method="POST", are_invalid=True):
        """Assert that no response is relayed, and how many count as invalid."""
        responses = list(responses)
        invalid = len(responses) * are_invalid
        self.start()
        valid = b"HTTP/1.1 200 OK\r\n" + self.FIELDS + b"Content-Length: 0\r\n\r\n"
        answer = self.ask(valid, method)
        self.assertEqual(200, answer[0], answer)
        for response in responses:
            status, headers, body = self.ask(response, method)
            seen = status, headers.get("request-run"), self.requests
            self.assertEqual((502, "may-have-run", 1), seen, (response, body))
        metrics = self.host.entry.metrics.snapshot()
        self.assertEqual(invalid, metrics.get("responses.invalid", 0))

    def test_a_malformed_head_is_not_relayed(self):
        self.check(list_heads(self.FIELDS))

    def test_a_malformed_head_in_response_to_head_is_not_relayed(self):
        self.check(list_heads(self.FIELDS), "HEAD")

    def test_a_malformed_body_is_not_relayed(self):
        self.check(list_bodies(self.FIELDS))
        self.check(list_cut_bodies(self.FIELDS), are_invalid=False)

    def test_a_malformed_refusal_is_no_proof(self):
        refused = b"Request-Id: %s\r\nNot-Executed: 1\r\n"
        responses = (*list_heads(refused), *list_bodies(refused))
        self.check(
            response.replace(b"200 OK", b"503 No")
            for response in responses
            if b"200 OK" in response
        )

    def test_a_malformed_response_to_a_probe_is_a_failed_probe(self):
        fields = b"Server-Load: 0,0,3,100\r\nInstance-Id: i-cut\r\n"
        cases = (*list_heads(fields), *list_bodies(fields, b"x"))
        for probe in (PROBE, *cases):
            server = CuttingServer(b"")
            server.probe = probe
            self.addCleanup(server.close)
            instance = Instance("i-cut", SERVICE, server.address, "akl-a", 3)
            state = InstanceState(instance, InstancePool(server.address), 0.0)
            exchange = Exchange(state, headers)
            exchange.begin_probe("/health")
            while not exchange.needs_no_io:
                poller = select.poll()
                poller.register(exchange.fileno(), exchange.events)
                self.assertTrue(poller.poll(5000))
                exchange.advance()
            if probe is PROBE:
                self.assertIsNone(exchange.failure)
            else:
                self.assertTrue(exchange.failure.invalid_response, probe)
            exchange.release()
            server.close()

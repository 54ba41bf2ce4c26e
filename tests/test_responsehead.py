"""Responses whose connection ends within the head."""

import socket
import time
from http.client import HTTPException

from redwingspring.callerconnections import read_page
from redwingspring.errors import PublicationError
from redwingspring.instancestate import Instance
from redwingspring.metrics import Metrics
from redwingspring.platform.store import StoreClient
from redwingspring.servicereader import ServiceReader
from redwingspring.storestate import StoreError
from redwingspring.targetconnection import StrictResponse

from .base import RedwingspringTestCase
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


class CuttingServer(SocketStandIn):
    """Server that sends the first bytes of a response and closes the connection."""

    def __init__(self, response):
        self.response = response
        self.cut_at = len(response)
        self.requests = 0
        super().__init__()

    def serve(self, connection):
        while (head := connection.recv(65536)).startswith(b"GET /health"):
            connection.sendall(PROBE)
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

import itertools
import os
import socket
import time

from redwingspring import frames, peers
from redwingspring.frames import NONCE_BYTES, FrameWriter, read_exactly
from redwingspring.messages import (
    PROTOCOL_VERSION,
    Envelope,
    Heartbeat,
    Hello,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    Pull,
    SeenTarget,
    SeenTargets,
    TargetStateEntry,
    TargetStates,
    Value,
    decode_envelope,
    encode_envelope,
)
from redwingspring.metrics import Metrics
from redwingspring.peers import PeerNetwork
from redwingspring.stamp import NO_STAMP, make_stamp

from .base import RedwingspringTestCase

_address_numbers = itertools.count(1)
HELLO = Hello("127.0.0.1:1", "127.0.0.1:2", "akl-a")


def wait_until(condition, timeout=5.0):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.005)
    return False


class MessagesTest(RedwingspringTestCase):
    def test_all_fields_survive_encoding_and_decoding(self):
        entry = TargetStateEntry("127.0.0.1:1", "5f3a", "cold", 2)
        for body in (
            HELLO,
            Heartbeat(make_stamp(3, "x"), NO_STAMP, "serving", "ab", 5, 7),
            Pull("hosts", 3, "ab"),
            Value("hosts", 3, "ab", "é\n" * 3),
            TargetStates((entry, entry)),
            LeaseRequest(1, "cold", "127.0.0.1:1", 2, 2000),
            LeaseReply(1, True, 2),
            LeaseRelease(1, "probe", "127.0.0.1:1", 2, True),
            SeenTargets((SeenTarget("127.0.0.1:1", 250, True, False),)),
        ):
            envelope = Envelope(PROTOCOL_VERSION, "entry-0", 9, 2.5, body)
            self.assertEqual(envelope, decode_envelope(encode_envelope(envelope)))


class PeersTest(RedwingspringTestCase):
    def setUp(self):
        super().setUp()
        self.received = []

    def start_network(self, name, key="secret"):
        # On 127.0.0.1, an outgoing connection may already use the port.
        address = f"127.{64 + os.getpid() % 160}.251.{next(_address_numbers)}:7001"
        metrics = Metrics()
        network = PeerNetwork(name, key, Hello("", address, "akl-a"), metrics)
        network.register(Hello, lambda sender, body: None)
        network.register(LeaseReply, lambda *message: self.received.append(message))
        network.start()
        self.addCleanup(network.stop)
        return network, address, metrics

    def connect(self, address):
        host, port = address.rsplit(":", 1)
        sock = socket.create_connection((host, int(port)), 5.0)
        self.addCleanup(sock.close)
        return sock, bytes(read_exactly(sock, NONCE_BYTES))

    def assert_closed(self, sock, metrics, counter):
        try:
            self.assertEqual(b"", sock.recv(1))
        except ConnectionResetError:
            pass
        self.assertTrue(wait_until(lambda: metrics.snapshot().get(counter)), counter)
        self.assertEqual([], self.received)

    def test_messages_arrive_in_order(self):
        one, _, _ = self.start_network("one")
        _, address, _ = self.start_network("two")
        self.assertFalse(one.send("two", LeaseReply(0, True, 1)))
        one.set_peers({"two": address})
        self.assertTrue(wait_until(lambda: one.send("two", LeaseReply(0, True, 1))))
        for number in range(1, 20):
            one.send("two", LeaseReply(number, True, 1))
        self.assertTrue(wait_until(lambda: len(self.received) == 20))
        numbers = [body.number for _, body in self.received]
        self.assertEqual(list(range(20)), numbers)

    def test_a_sender_without_the_key_is_refused(self):
        _, address, metrics = self.start_network("two")
        sock, nonce = self.connect(address)
        FrameWriter(sock, b"wrong", nonce, "one").write(HELLO)
        self.assert_closed(sock, metrics, "peers.bad_hmac")

    def test_a_recorded_connection_cannot_be_replayed(self):
        _, address, metrics = self.start_network("two")
        sock, _ = self.connect(address)
        other_nonce = os.urandom(NONCE_BYTES)
        writer = FrameWriter(sock, b"secret", other_nonce, "one")
        writer.write(HELLO)
        self.assert_closed(sock, metrics, "peers.bad_hmac")

    def test_a_repeated_frame_is_refused(self):
        _, address, metrics = self.start_network("two")
        sock, nonce = self.connect(address)
        FrameWriter(sock, b"secret", nonce, "one").write(HELLO)
        FrameWriter(sock, b"secret", nonce, "one").write(LeaseReply(1, True, 1))
        self.assert_closed(sock, metrics, "peers.bad_sequence")

    def test_a_connection_cannot_change_its_sender(self):
        _, address, metrics = self.start_network("two")
        sock, nonce = self.connect(address)
        writer = FrameWriter(sock, b"secret", nonce, "one")
        writer.write(HELLO)
        writer._sender = "three"
        writer.write(LeaseReply(1, True, 1))
        self.assert_closed(sock, metrics, "peers.bad_sender")

    def test_an_oversized_length_is_refused_before_allocation(self):
        _, address, metrics = self.start_network("two")
        sock, _ = self.connect(address)
        sock.sendall(b"\xff" * 36)
        self.assert_closed(sock, metrics, "peers.bad_length")

    def test_another_protocol_version_is_refused(self):
        _, address, metrics = self.start_network("two")
        sock, nonce = self.connect(address)
        writer = FrameWriter(sock, b"secret", nonce, "one")
        frame = encode_envelope(Envelope(PROTOCOL_VERSION + 1, "one", 1, 0.0, HELLO))
        self.patch(frames, "encode_envelope", lambda envelope: frame)
        writer.write(HELLO)
        self.assert_closed(sock, metrics, "peers.bad_version")

    def test_silent_unauthenticated_connections_time_out(self):
        self.patch(peers, "MAX_UNAUTHENTICATED", 2)
        self.patch(peers, "AUTHENTICATION_TIMEOUT_S", 0.3)
        _, address, metrics = self.start_network("two")
        unauthenticated = [self.connect(address)[0] for _ in range(2)]
        self.assertRaises((EOFError, OSError), self.connect, address)
        self.assert_closed(unauthenticated[0], metrics, "peers.connections_ended")
        self.assertTrue(wait_until(lambda: self._can_connect(address)))

    def _can_connect(self, address):
        try:
            return self.connect(address)
        except (EOFError, OSError):
            return False

    def test_a_peer_that_does_not_read_does_not_block_send(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        one, _, metrics = self.start_network("one")
        one.set_peers({"two": f"127.0.0.1:{listener.getsockname()[1]}"})
        sock, _ = listener.accept()
        self.addCleanup(sock.close)
        sock.sendall(bytes(NONCE_BYTES))
        value = Value("configuration", 1, "ab", "x" * 1_000_000)
        self.assertTrue(wait_until(lambda: one.send("two", value)))
        start = time.monotonic()
        while one.send("two", value):
            self.assertLess(time.monotonic(), start + 2.0)
        self.assertEqual(1, metrics.snapshot()["peers.queue_full"])

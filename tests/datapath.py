"""A data path in one process: entry server, targets, and fault-injecting proxies."""

import http.client
import select
import socket
import threading
import time
from dataclasses import dataclass
from types import MappingProxyType, SimpleNamespace

from cherrypy import _cptree

from redwingspring.admission import AdmissionDirectory
from redwingspring.configuration import Configuration, Service, Target
from redwingspring.dispatch import Dispatcher
from redwingspring.forwarder import Forwarder
from redwingspring.metrics import Metrics
from redwingspring.outcomes import OutcomeRecorder
from redwingspring.policy.policies import policies
from redwingspring.requestlog import RequestLog
from redwingspring.server import EntryServer
from redwingspring.settings import Settings
from redwingspring.standinbehaviour import TargetBehaviour
from redwingspring.standintarget import TargetStandIn
from redwingspring.targetconnection import enable_reset_on_close
from redwingspring.targets import TargetDirectory
from redwingspring.upstream import PoolDirectory

SERVICE = "desk"


@dataclass
class Cut:
    """The point at which a proxy cuts a connection, and how.

    Attributes
    ----------
    direction : str
        ``up`` counts bytes to the target, ``down`` those to the entry host.
    after : int
        Number of bytes forwarded before the cut.
    kind : str
        ``rst``, ``fin`` or ``drop`` (discard all further data and stay open).
    """

    direction: str
    after: int
    kind: str


class CutProxy:
    """TCP proxy of a target that applies a cut once to each connection."""

    def __init__(self, target_address):
        host, port = target_address.rsplit(":", 1)
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.cut = None
        threading.Thread(target=self._accept, daemon=True).start()

    def set_cut(self, cut):
        """Apply a cut to all connections; its byte count starts now."""
        self.cut = cut

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve_connection, args=(caller,), daemon=True
            ).start()

    def _serve_connection(self, caller):
        with socket.create_connection(self._target) as target, caller:
            for sock in (caller, target):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                _ProxiedConnection(self, caller, target).run()
            except OSError:
                pass


class _ProxiedConnection:
    """Forwards the data of one connection until a cut is applied."""

    def __init__(self, proxy, caller, target):
        self.proxy = proxy
        self.routes = {caller: ("up", target), target: ("down", caller)}
        self.cut = None
        self.remaining_bytes = 0
        self.dropping = False

    def run(self):
        while True:
            readable, _, _ = select.select(list(self.routes), [], [], 0.02)
            if self.proxy.cut is not self.cut:
                self.cut = self.proxy.cut
                self.remaining_bytes = self.cut.after if self.cut else 0
                self.dropping = False
            # A cut after 0 bytes is applied before anything is read, like a
            # target that closes an idle connection as a request arrives.
            if readable and self.cut and not self.remaining_bytes and self.apply_cut():
                return
            for sock in readable:
                data = sock.recv(65536)
                if not data or self.forward(sock, data):
                    return

    def forward(self, sock, data):
        """Forward data up to the cut; return whether the connection ends."""
        direction, other = self.routes[sock]
        cut_reached = False
        if self.cut and direction == self.cut.direction and not self.dropping:
            cut_reached = len(data) >= self.remaining_bytes
            data = data[: self.remaining_bytes]
            self.remaining_bytes -= len(data)
        if not self.dropping:
            other.sendall(data)
        return cut_reached and self.apply_cut()

    def apply_cut(self):
        if self.cut.kind == "rst":
            for sock in self.routes:
                enable_reset_on_close(sock)
        self.dropping = self.cut.kind == "drop"
        return not self.dropping


class DataPath:
    """An entry server with its data path to the given targets.

    Parameters
    ----------
    services : mapping of str to sequence of str
        Target addresses by service.
    defaults : dict, optional
        Configuration defaults in base units.
    settings : dict, optional
        Settings of the host that differ from the defaults.
    """

    def __init__(self, services, defaults=None, **settings):
        self.metrics = Metrics(None)
        self.requests = RequestLog()
        self.directory = TargetDirectory()
        self.pools = PoolDirectory()
        self.admissions = AdmissionDirectory()
        values = {
            "target.slots": 1000,
            "target.connections": 100_000,
            "eject.failures": 1 << 30,
        }
        services_by_name = {
            name: Service(name, tuple(Target(name, a, "akl-a") for a in addresses))
            for name, addresses in services.items()
        }
        self.directory.apply(
            Configuration(
                MappingProxyType({**values, **(defaults or {})}),
                MappingProxyType(services_by_name),
            )
        )
        self.admissions.apply(self.directory.table)
        self.refusal = None
        self.dispatcher = Dispatcher(
            directory=self.directory,
            pools=self.pools,
            admissions=self.admissions,
            leases=SimpleNamespace(
                select=lambda *_: (), release_if_finished=lambda *_, **__: None
            ),
            membership=SimpleNamespace(check_serving=lambda: self.refusal),
            metrics=self.metrics,
            policies=policies,
            outcomes=OutcomeRecorder(self.metrics, lambda *_: None),
            data_centre="akl-a",
        )
        self.forwarder = Forwarder(
            self.directory, self.dispatcher, self.requests, self.metrics
        )
        tree = _cptree.Tree()
        tree.graft(self.forwarder, "")
        entry_settings = Settings(
            "entry", "akl-a", "127.0.0.1:0", "", "", "key", **settings
        )
        self.server = EntryServer("127.0.0.1:0", tree, entry_settings, self.metrics)
        self.server.prepare()
        self.port = self.server.socket.getsockname()[1]
        threading.Thread(target=self.server.serve, daemon=True).start()

    def mark_targets_warm(self, start_ids):
        """Mark all targets warm, with start ids by address."""
        for states in self.directory.table.services.values():
            for state in states:
                state.mark_warm(start_ids[state.target.address])

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.port), timeout=20)

    def exchange(self, raw):
        """Send raw bytes; return everything received until the connection ends."""
        with self.connect() as sock:
            sock.sendall(raw)
            return read_all(sock)

    def close(self):
        self.server.stop()
        self.pools.retain(set())


def read_all(sock):
    """Return the data received until the end; a reset adds ``<reset>``."""
    parts = []
    try:
        while data := sock.recv(65536):
            parts.append(data)
    except ConnectionResetError:
        parts.append(b"<reset>")
    return b"".join(parts)


def read_response(sock, method):
    """Return status, headers, body and whether the response is complete."""
    response = http.client.HTTPResponse(sock, method=method)
    try:
        response.begin()
    except (OSError, http.client.HTTPException):
        return None, {}, b"", False
    headers = {name.lower(): value for name, value in response.getheaders()}
    parts = []
    try:
        # Reading in parts keeps the data that arrived before a reset.
        while data := response.read1(65536):
            parts.append(data)
    except (OSError, http.client.HTTPException):
        return response.status, headers, b"".join(parts), False
    body = b"".join(parts)
    # Without a declared length, a caller takes a normal close for the end.
    length = headers.get("content-length")
    whole = method == "HEAD" or length is None or int(length) == len(body)
    return response.status, headers, body, whole


class DataPathFixture:
    """Targets and a data path that are closed at the end of the test."""

    def __init__(self, test, targets=1, defaults=None, behaviour=None, **settings):
        behaviour = behaviour or TargetBehaviour(slots=500, work_s=0.0)
        self.targets = [start_target(behaviour) for _ in range(targets)]
        self.path = DataPath(
            {SERVICE: [target.address for target in self.targets]}, defaults, **settings
        )
        self.path.mark_targets_warm(
            {t.address: t.record.start_id for t in self.targets}
        )
        test.addCleanup(self.close)

    def close(self):
        self.path.close()
        for target in self.targets:
            target.stop()

    def wait_idle(self):
        """Wait until all requests have ended and returned their connections."""
        admission = self.path.admissions.find(SERVICE)
        assert wait_until(lambda: admission.in_flight == 0)

    def runs(self, request_id=None):
        """Return the requests that the targets ran, or the runs of one request."""
        return [
            run
            for target in self.targets
            for run in list(target.record.runs)
            if request_id in (None, run["request"])
        ]

    def send(self, method, path, body=b"", headers=()):
        """Send one request on a new connection; return the response."""
        lines = [f"{method} /{SERVICE}{path} HTTP/1.1", "Host: x", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in dict(headers).items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        with self.path.connect() as sock:
            sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            return read_response(sock, method)


def start_target(behaviour):
    """Start a stand-in target in a thread."""
    target = TargetStandIn("127.0.0.1:0", behaviour)
    threading.Thread(target=target.run, daemon=True).start()
    return target


def wait_until(condition, timeout=5.0):
    """Wait until a condition holds; return whether it does."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.01)
    return bool(condition())


class RawTarget:
    """A target whose responses are written to the socket by a function.

    Parameters
    ----------
    answer : callable
        Called for each request head with the connection, the head and its attempt
        id; the connection is closed when it returns a true value.
    """

    def __init__(self, answer):
        self._answer = answer
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.accepted = 0
        self.heads = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        # Unbuffered, so that ``answer`` can read the request body.
        stream = sock.makefile("rb", buffering=0)
        with sock, stream:
            try:
                while head := self._read_head(stream):
                    self.heads.append(head)
                    attempt = head.split(b"Attempt-Id: ")[1].split(b"\r\n")[0]
                    if self._answer(sock, head, attempt):
                        return
            except OSError:
                pass

    @staticmethod
    def _read_head(stream):
        lines = []
        while (line := stream.readline()) not in (b"\r\n", b""):
            lines.append(line)
        return b"".join(lines)


class RawFixture(DataPathFixture):
    """A data path to one raw target."""

    def __init__(self, test, answer, defaults=None, **settings):
        self.targets = []
        self.raw = RawTarget(answer)
        self.path = DataPath({SERVICE: [self.raw.address]}, defaults, **settings)
        self.path.mark_targets_warm({self.raw.address: ""})
        test.addCleanup(self.raw.close)
        test.addCleanup(self.close)


def answer_with(template):
    """Return an ``answer`` that writes a template with ``ID`` as the attempt id."""
    return lambda sock, head, attempt: sock.sendall(template.replace(b"ID", attempt))

"""Tests of the entry process as the platform runs it: settings, signals and exit."""

import contextlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from .base import RedwingspringTestCase
from .standins import (
    READS,
    Caller,
    InstanceStandIn,
    StoreStandIn,
    describe_configuration,
    find_port,
    render_request,
    wait_until,
)

SETTINGS = """\
name: edge-akl-a-1
data_centre: akl-a
data_centres:
  akl-a: aotearoa-north
address: "{address}"
ready_address: "127.0.0.1:{ready}"
directory_address: "127.0.0.1:{directory}"
peer_address: "127.0.0.1:{peer}"
store: "{store}"
seeds: []
grace: {grace}
"""


# Fewer than the backlog that every kernel allows.
BURST_CALLERS = 100


def fill_pipe(writer):
    """Write to a pipe until it takes no more bytes."""
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b"x" * 4096)
    os.set_blocking(writer, True)


class ProcessTest(RedwingspringTestCase):
    command = ("redwingspring", "entry", "--settings")

    def setUp(self):
        super().setUp()
        self.store = StoreStandIn()
        self.addCleanup(self.store.close)
        self.instance = InstanceStandIn("i-0")
        self.addCleanup(self.instance.close)
        self.store.put("servers/i-0", self.instance.entry())
        self.store.put("op/config", describe_configuration())
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.conf"
        self.address = f"127.0.0.1:{find_port()}"
        self.values = {
            "address": self.address,
            "ready": find_port(),
            "directory": find_port(),
            "peer": find_port(),
            "store": self.store.address,
            "grace": 3,
        }
        self.path.write_text(SETTINGS.format(**self.values))

    def start(self):
        self.output = self.path.with_name("output")
        with self.output.open("wb") as stream:
            return self.start_with_output(stream)

    def start_with_output(self, stream):
        process = subprocess.Popen(
            [sys.executable, "-m", *self.command, str(self.path)],
            stdout=stream,
            stderr=subprocess.STDOUT,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def read_lines(self, message):
        lines = self.output.read_text().splitlines()
        return [x for x in map(json.loads, lines) if x["message"] == message]

    def ask(self):
        caller = Caller(self.address)
        try:
            return caller.ask("GET", READS + "1")[0]
        except OSError:
            return None
        finally:
            caller.close()

    def test_a_process_serves_reloads_and_exits_within_its_grace_period(self):
        process = self.start()
        wait_until(lambda: self.ask() == 200)
        self.path.write_text("grace: never\n")
        process.send_signal(signal.SIGHUP)
        wait_until(lambda: self.read_lines("settings not read again"))
        self.path.write_text(SETTINGS.format(**self.values))
        process.send_signal(signal.SIGHUP)
        wait_until(lambda: self.read_lines("settings read again"))
        self.assertEqual(200, self.ask())
        started = time.monotonic()
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(5))
        self.assertTrue(time.monotonic() - started < 3.5)
        for message in ("process started", "process leaving", "process stopped"):
            self.assertEqual(1, len(self.read_lines(message)), message)

    def test_the_process_exits_though_its_output_is_not_read(self):
        """The platform kills a process that is there after its grace period."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        fill_pipe(writer)
        process = self.start_with_output(writer)
        wait_until(lambda: self.ask() == 200)
        started = time.monotonic()
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(8))
        self.assertTrue(time.monotonic() - started < self.values["grace"])

    def test_a_process_that_is_suspended_at_its_sigterm_stops(self):
        """The kernel may then deliver the signal to any thread."""
        for _ in range(2):
            process = self.start()
            wait_until(lambda: self.ask() == 200)
            process.send_signal(signal.SIGSTOP)
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGCONT)
            self.assertEqual(0, process.wait(5))

    def test_signals_during_the_shutdown_do_not_delay_the_exit(self):
        """SIGHUP reads the settings, for which the main thread may have to wait."""
        process = self.start()
        wait_until(lambda: self.ask() == 200)
        kept = Caller(self.address)
        self.addCleanup(kept.close)
        self.assertEqual(200, kept.ask("GET", READS + "1")[0])
        self.path.unlink()
        os.mkfifo(self.path)
        started = time.monotonic()
        process.send_signal(signal.SIGTERM)
        wait_until(lambda: self.read_lines("process leaving"))
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(8))
        self.assertTrue(time.monotonic() - started < self.values["grace"])
        self.assertEqual(1, len(self.read_lines("process leaving")))
        [line] = self.read_lines("process stopped")
        self.assertEqual(0, line["unanswered"])

    def test_callers_that_connect_at_the_same_moment_all_get_an_answer(self):
        """A short listen backlog drops connections, which are opened again late."""
        process = self.start()
        wait_until(lambda: self.ask() == 200)
        host, port = self.address.split(":")
        ports = [port, self.values["ready"], self.values["directory"]]
        ports.append(self.values["peer"])
        process.send_signal(signal.SIGSTOP)
        self.addCleanup(process.send_signal, signal.SIGCONT)
        # While the process is stopped, the kernel alone accepts connections.
        for number in map(int, ports):
            for _ in range(BURST_CALLERS):
                sock = socket.create_connection((host, number), timeout=0.9)
                self.addCleanup(sock.close)
        callers = [Caller(self.address) for _ in range(20)]
        for caller in callers:
            self.addCleanup(caller.close)
            caller.connection.connect()
        process.send_signal(signal.SIGCONT)
        statuses = [caller.ask("GET", READS + "1")[0] for caller in callers]
        self.assertEqual([200] * len(callers), statuses)

    def test_a_sighup_during_startup_reloads_afterwards(self):
        """SIGHUP would end the process before its handler is installed."""
        text = self.path.read_text()
        self.path.unlink()
        os.mkfifo(self.path)
        process = self.start()
        # A non-blocking open succeeds once the process has opened the FIFO to read its
        # settings.
        opened = []

        def open_fifo():
            with contextlib.suppress(OSError):
                opened.append(os.open(self.path, os.O_WRONLY | os.O_NONBLOCK))
            return opened

        wait_until(open_fifo)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.2)
        self.assertIsNone(process.poll())
        replacement = self.path.with_name("replacement")
        replacement.write_text(text)
        replacement.rename(self.path)
        os.write(opened[0], text.encode())
        os.close(opened[0])
        wait_until(lambda: self.read_lines("settings read again"))
        wait_until(lambda: self.ask() == 200)

    def test_invalid_settings_exit_with_one_error_that_names_the_key(self):
        self.path.write_text(SETTINGS.format(**{**self.values, "grace": "soon"}))
        process = self.start()
        self.assertEqual(2, process.wait(20))
        text = self.output.read_text()
        self.assertIn(f"{self.path}:11: grace: must be a duration", text)
        self.assertEqual(1, len(text.splitlines()))

    def test_an_address_in_use_exits_with_one_error_that_names_it(self):
        """The platform shows the last line of a process that does not start."""
        listener = socket.create_server(("127.0.0.1", self.values["directory"]))
        self.addCleanup(listener.close)
        process = self.start()
        self.assertEqual(2, process.wait(20))
        last = self.output.read_text().splitlines()[-1]
        directory = f"127.0.0.1:{self.values['directory']}"
        self.assertTrue(last.startswith(f"cannot listen on {directory}: "), last)
        self.assertNotIn("Traceback", self.output.read_text())


class DirectProcessTest(ProcessTest):
    """The same process without the command line, as the deploy file starts it."""

    command = ("redwingspring.routedprocess",)

    def test_a_caller_that_connects_during_the_start_is_answered(self):
        """All hosts may restart at once, so that no other one could answer."""
        self.store.delay_s = 0.15
        self.start()
        connection = self.connect_early(int(self.address.rsplit(":", 1)[1]))
        connection.sendall(render_request("GET", READS + "1", "early"))
        self.assertTrue(connection.recv(4096).startswith(b"HTTP/1.1 200 OK"))

    def test_an_address_request_during_the_start_names_the_host(self):
        """Callers without an address would give up."""
        self.store.delay_s = 0.15
        self.start()
        connection = self.connect_early(self.values["directory"])
        path = "/redwingspring/resolve?name=desk.example&zone=akl-a"
        connection.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        response = http.client.HTTPResponse(connection)
        response.begin()
        self.assertEqual(200, response.status)
        self.assertIn(self.address.encode(), response.read())

    def connect_early(self, port):
        """Return a connection that was opened before the process had started."""
        connections = []

        def connect():
            try:
                address = ("127.0.0.1", port)
                connections.append(socket.create_connection(address, timeout=5))
            except ConnectionRefusedError:
                return False
            return True

        wait_until(connect)
        self.addCleanup(connections[0].close)
        self.assertEqual([], self.read_lines("process started"))
        return connections[0]

    def test_a_missing_file_exits_with_one_error_that_names_it(self):
        self.path.unlink()
        process = self.start()
        self.assertEqual(2, process.wait(20))
        [line] = self.output.read_text().splitlines()
        self.assertIn(str(self.path), line)

    def test_settings_without_a_store_exit_with_one_error(self):
        self.path.write_text("name: edge-akl-a-1\n")
        process = self.start()
        self.assertEqual(2, process.wait(20))
        self.assertIn("store", self.output.read_text())

"""A fleet of entry processes, targets and a configuration service."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import urllib3
import yaml

from .links import send_command

START_TIMEOUT_S = 20.0
PORT = 7000
PEER_PORT = 7001
# Relays listen at the address of the real listener plus this.
RELAY_OFFSET = 120
_networks = itertools.count(1)


class FleetError(Exception):
    """A process of the fleet did not do what the harness needs."""


def allocate_network():
    """Return the first three bytes of a loopback network of this process.

    Outgoing connections come from 127.0.0.1, so a listener on another
    loopback address never finds its port taken by one of them.

    Returns
    -------
    str
        Such as ``127.70.3``.
    """
    pid = os.getpid()
    return f"127.{16 + pid % 200}.{1 + (pid // 200 + next(_networks)) % 250}"


def find_relay(address):
    """Return where the relay of a listener listens.

    Parameters
    ----------
    address : str
        ``ip:port`` of the listener.

    Returns
    -------
    str
        Address of the relay.
    """
    host, port = address.rsplit(":", 1)
    network, last = host.rsplit(".", 1)
    return f"{network}.{int(last) + RELAY_OFFSET}:{port}"


@dataclass
class Process:
    """One process of the fleet.

    Parameters
    ----------
    name : str
        Name within the fleet.
    address : str
        ``ip:port`` where it listens.
    popen : subprocess.Popen
        The process.
    log : pathlib.Path
        Its standard error.
    """

    name: str
    address: str
    popen: subprocess.Popen
    log: Path

    @property
    def running(self):
        """Tell whether the process has not ended."""
        return self.popen.poll() is None

    def send(self, number):
        """Send a signal.

        Parameters
        ----------
        number : signal.Signals
            The signal.
        """
        if self.running:
            self.popen.send_signal(number)

    def freeze(self):
        """Stop the process without ending it."""
        self.send(signal.SIGSTOP)

    def resume(self):
        """Let a stopped process go on."""
        self.send(signal.SIGCONT)

    def kill(self):
        """End the process at once."""
        if self.running:
            self.popen.kill()
        self.popen.wait()

    def terminate(self):
        """Ask the process to shut down."""
        self.send(signal.SIGTERM)

    def wait(self, timeout):
        """Wait for the end and return the exit code.

        Parameters
        ----------
        timeout : float
            Seconds.

        Returns
        -------
        int
            The exit code.
        """
        return self.popen.wait(timeout)


def start_module(folder, name, address, module, *args):
    """Start a Python module as a process.

    Parameters
    ----------
    folder : pathlib.Path
        Where its log goes.
    name : str
        Name of the process.
    address : str
        ``ip:port`` where it will listen.
    module : str
        Name of the module.
    *args : str
        Its arguments.

    Returns
    -------
    Process
        The process.
    """
    log = folder / f"{name}.log"
    with log.open("ab") as stream:
        popen = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdout=stream,
            stderr=stream,
            stdin=subprocess.DEVNULL,
        )
    return Process(name, address, popen, log)


@dataclass(frozen=True)
class TargetSpec:
    """A stand-in target to start.

    Parameters
    ----------
    service : str
        Name of the service.
    data_centre : str
        Where it is.
    options : tuple of str
        Command line options of the stand-in.
    """

    service: str
    data_centre: str
    options: tuple = ()


@dataclass
class Fleet:
    """Starts, drives and ends processes on loopback.

    Parameters
    ----------
    targets : sequence of TargetSpec
        Targets to start.
    hosts : int
        Entry processes to start.
    data_centres : sequence of str
        Hosts take turns in these.
    defaults : dict
        Configuration defaults.
    exceptions : list
        Configuration exceptions.
    settings : dict
        Settings of all entry processes that differ from the harness's.
    links : bool
        Put relays between the processes, so that links can be cut.
    mutations : tuple of str
        Mechanisms to turn off in the entry processes.
    warm : bool
        Wait at the start until all hosts know all targets as warm.
    """

    targets: tuple
    hosts: int = 2
    data_centres: tuple = ("akl-a", "ham-b", "wlg-c")
    defaults: dict = field(default_factory=dict)
    exceptions: list = field(default_factory=list)
    settings: dict = field(default_factory=dict)
    links: bool = False
    mutations: tuple = ()
    warm: bool = True

    def __post_init__(self):
        self.network = allocate_network()
        self.processes = {}
        self.entries = []
        self.target_processes = []
        self.http = urllib3.PoolManager(retries=False, maxsize=32)
        self._directory = None

    def __enter__(self):
        self._directory = tempfile.TemporaryDirectory(prefix="redwingspring-")
        self.path = Path(self._directory.name)
        try:
            self._start_all()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self):
        """End every process of the fleet."""
        for process in self.processes.values():
            process.resume()
            process.kill()
        self.http.clear()
        self._directory.cleanup()

    def spawn(self, name, address, *args):
        """Start one process of the command line.

        Parameters
        ----------
        name : str
            Name within the fleet.
        address : str
            Where it will listen.
        *args : str
            Arguments of the command line.

        Returns
        -------
        Process
            The process.
        """
        return self.run_module(name, address, "redwingspring", *args)

    def run_module(self, name, address, module, *args):
        """Start a Python module as a process of the fleet.

        Parameters
        ----------
        name : str
            Name within the fleet.
        address : str
            Where it will listen.
        module : str
            Name of the module.
        *args : str
            Its arguments.

        Returns
        -------
        Process
            The process.
        """
        process = start_module(self.path, name, address, module, *args)
        self.processes[name] = process
        return process

    def configuration(self):
        """Return the configuration document of the fleet.

        Returns
        -------
        dict
            The document.
        """
        services = {}
        for index, spec in enumerate(self.targets):
            entry = {
                "address": self.target_reach(index),
                "data_centre": spec.data_centre,
            }
            services.setdefault(spec.service, {"targets": []})["targets"].append(entry)
        return {
            "defaults": self.defaults,
            "services": services,
            "exceptions": self.exceptions,
        }

    def host_list(self, leaving=(), absent=()):
        """Return the host list document of the fleet.

        Parameters
        ----------
        leaving : collection of int, default=()
            Numbers of hosts listed as leaving.
        absent : collection of int, default=()
            Numbers of hosts left out.

        Returns
        -------
        dict
            The document.
        """
        return {
            "hosts": [
                {
                    "name": f"entry-{number}",
                    "address": self.entry_address(number),
                    "peer_address": self._reach(self.peer_address(number)),
                    "data_centre": self.host_data_centre(number),
                    "state": "leaving" if number in leaving else "live",
                }
                for number in range(self.hosts)
                if number not in absent
            ]
        }

    def target_address(self, index):
        """Return where a target listens."""
        return f"{self.network}.{50 + index}:{PORT}"

    def target_reach(self, index):
        """Return the address of a target in the configuration."""
        return self._reach(self.target_address(index))

    def entry_address(self, number):
        """Return where an entry process listens for callers."""
        return f"{self.network}.{10 + number}:{PORT}"

    def peer_address(self, number):
        """Return where an entry process listens for other hosts."""
        return f"{self.network}.{10 + number}:{PEER_PORT}"

    def host_data_centre(self, number):
        """Return the data centre of a host."""
        return self.data_centres[number % len(self.data_centres)]

    def _reach(self, address):
        """Return where other processes reach a listener."""
        return find_relay(address) if self.links else address

    def command_links(self, **command):
        """Send one command to the relays.

        Parameters
        ----------
        **command : object
            Fields of the command, see ``harness.links``.
        """
        if not send_command(self.links_address, command):
            raise FleetError("the relays refused a command")

    @property
    def links_address(self):
        """Where the relays take commands."""
        return f"{self.network}.3:{PORT}"

    @property
    def service_address(self):
        """Where the configuration service listens."""
        return f"{self.network}.2:{PORT}"

    def publish(self, key, document):
        """Publish a value at the configuration service.

        Parameters
        ----------
        key : str
            ``configuration`` or ``hosts``.
        document : dict or str
            The value.
        """
        text = document if isinstance(document, str) else yaml.safe_dump(document)
        url = f"http://{self.service_address}/v1/values/{key}"
        response = self.http.request("PUT", url, body=text.encode())
        if response.status != 204:
            raise FleetError(f"publishing {key} gave status {response.status}")

    def start_target(self, index):
        """Start a target.

        Parameters
        ----------
        index : int
            Number of the target.

        Returns
        -------
        Process
            The process.
        """
        address = self.target_address(index)
        options = self.targets[index].options
        return self.spawn(
            f"target-{index}", address, "standin", "target", "--listen", address,
            *options,
        )  # fmt: skip

    def start_entry(self, number):
        """Start an entry process.

        Parameters
        ----------
        number : int
            Number of the host.

        Returns
        -------
        Process
            The process.
        """
        settings = {
            "name": f"entry-{number}",
            "data_centre": self.host_data_centre(number),
            "address": self.entry_address(number),
            "peer_address": self._reach(self.peer_address(number)),
            "peer_listen": self.peer_address(number),
            "configuration_service": f"http://{self._reach(self.service_address)}",
            "peer_key": "loopback-test-key-0123456789",
            **self.settings,
        }
        path = self.path / f"entry-{number}.yaml"
        path.write_text(yaml.safe_dump(settings))
        name, address = f"entry-{number}", self.entry_address(number)
        arguments = ("entry", "--settings", str(path))
        if self.mutations:
            names = ",".join(self.mutations)
            return self.run_module(name, address, "harness.mutant", names, *arguments)
        return self.spawn(name, address, *arguments)

    def wait_ready(self, number, timeout=START_TIMEOUT_S):
        """Wait until an entry process takes work.

        Parameters
        ----------
        number : int
            Number of the host.
        timeout : float, default=START_TIMEOUT_S
            Seconds.
        """
        self.wait_until(
            lambda: self.get(number, "/-/ready").status == 200,
            f"entry-{number} is not ready",
            timeout,
        )

    def wait_served(self, timeout=START_TIMEOUT_S):
        """Wait until each service answers.

        Hosts grant no cold-start lease until every grant of a former process
        must have expired.

        Parameters
        ----------
        timeout : float, default=START_TIMEOUT_S
            Seconds.
        """
        for service in {spec.service for spec in self.targets}:
            self.wait_until(
                lambda service=service: self._is_answered(service),
                f"{service} is not served",
                timeout,
            )

    def wait_warm(self, timeout=START_TIMEOUT_S):
        """Send requests until all hosts know all targets as warm.

        Parameters
        ----------
        timeout : float, default=START_TIMEOUT_S
            Seconds.
        """
        services = sorted({spec.service for spec in self.targets})
        numbers = itertools.count()

        def try_requests():
            number = next(numbers) % self.hosts
            for service in services:
                self.get(number, f"/{service}/")
            return not any(self.count_cold(n) for n in range(self.hosts))

        self.wait_until(try_requests, "targets did not get warm", timeout, 0.0)

    def count_cold(self, number):
        """Return how many targets a host knows as cold.

        Parameters
        ----------
        number : int
            Number of the host.

        Returns
        -------
        int
            Over all services.
        """
        lines = self.get(number, "/-/status").data.decode().splitlines()
        facts = [line.split() for line in lines if line.startswith("targets ")]
        return sum(int(words[words.index("cold") + 1]) for words in facts)

    def _is_answered(self, service):
        response = self.get(0, f"/{service}/")
        # A service whose targets are all out of service has no capacity.
        shut = response.headers.get("Failure-Reason") == "no-capacity"
        return response.status == 200 or shut

    def wait_until(self, condition, message, timeout=START_TIMEOUT_S, pause=0.02):
        """Wait until a condition holds.

        Parameters
        ----------
        condition : callable
            Returns a true value when it holds; connection errors count as
            false.
        message : str
            Of the error when it does not hold in time.
        timeout : float, default=START_TIMEOUT_S
            Seconds.
        pause : float, default=0.02
            Seconds between two tries.
        """
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except (OSError, urllib3.exceptions.HTTPError):
                pass
            time.sleep(pause)
        raise FleetError(f"{message}\n{self.read_logs()}")

    def wait_listening(self, process):
        """Wait until a process accepts connections.

        Parameters
        ----------
        process : Process
            The process.
        """
        host, port = process.address.rsplit(":", 1)

        def connect():
            socket.create_connection((host, int(port)), timeout=2.0).close()
            return True

        self.wait_until(connect, f"{process.name} does not listen")

    def read_records(self, index):
        """Return what a target recorded.

        Parameters
        ----------
        index : int
            Number of the target.

        Returns
        -------
        dict
            Its record.
        """
        url = f"http://{self.target_address(index)}/-target/records"
        return self.http.request("GET", url, timeout=30.0).json()

    def change_target(self, index, page="behaviour", **values):
        """Change how a target behaves.

        Parameters
        ----------
        index : int
            Number of the target.
        page : str, default="behaviour"
            Control page of the stand-in.
        **values : object
            Sent as JSON.
        """
        url = f"http://{self.target_address(index)}/-target/{page}"
        body = json.dumps(values).encode()
        response = self.http.request("POST", url, body=body, timeout=10.0)
        if response.status >= 300:
            raise FleetError(f"target {index} refused {values}: {response.data!r}")

    def get(self, number, path, **options):
        """Send a GET request to an entry process.

        Parameters
        ----------
        number : int
            Number of the host.
        path : str
            Path and query.
        **options : object
            Passed to urllib3.

        Returns
        -------
        urllib3.HTTPResponse
            The response.
        """
        return self.request("GET", number, path, **options)

    def request(self, method, number, path, **options):
        """Send a request to an entry process.

        Parameters
        ----------
        method : str
            HTTP method.
        number : int
            Number of the host.
        path : str
            Path and query.
        **options : object
            Passed to urllib3.

        Returns
        -------
        urllib3.HTTPResponse
            The response.
        """
        options.setdefault("timeout", 30.0)
        url = f"http://{self.entry_address(number)}{path}"
        return self.http.request(method, url, **options)

    def read_logs(self):
        """Return the ends of the logs of all processes.

        Returns
        -------
        str
            For error messages.
        """
        parts = []
        for process in self.processes.values():
            text = process.log.read_text(errors="replace")[-1500:]
            if text:
                parts.append(f"--- {process.name}\n{text}")
        return "\n".join(parts)

    def _start_links(self):
        listeners = [self.service_address]
        listeners += [self.target_address(n) for n in range(len(self.targets))]
        listeners += [self.peer_address(n) for n in range(self.hosts)]
        pairs = []
        for address in listeners:
            pairs += ["--pair", f"{self._reach(address)}={address}"]
        relays = self.run_module(
            "links", self.links_address, "harness.links",
            "--control", self.links_address, *pairs,
        )  # fmt: skip
        self.wait_listening(relays)

    def _start_all(self):
        configuration = self.path / "configuration.yaml"
        configuration.write_text(yaml.safe_dump(self.configuration()))
        hosts = self.path / "hosts.yaml"
        hosts.write_text(yaml.safe_dump(self.host_list()))
        self.service = self.spawn(
            "service", self.service_address, "standin", "config",
            "--listen", self.service_address,
            "--configuration", str(configuration), "--hosts", str(hosts),
        )  # fmt: skip
        if self.links:
            self._start_links()
        for index in range(len(self.targets)):
            self.target_processes.append(self.start_target(index))
        for process in (self.service, *self.target_processes):
            self.wait_listening(process)
        for number in range(self.hosts):
            self.entries.append(self.start_entry(number))
        for number in range(self.hosts):
            self.wait_ready(number)
        self.wait_served()
        if self.warm:
            self.wait_warm()

"""A fleet whose targets are bench targets."""

import json
import os
import random
import threading
from dataclasses import dataclass
from pathlib import Path

from harness.fleet import Fleet
from redwingspring import defaults
from redwingspring.load import LoadResult

NOISE_S = 0.2
NOISE_GAP_S = 0.3
NOISE_SLOWNESS = 2.0


def render_ratio(value):
    """Return a ratio as the configuration document writes it.

    Parameters
    ----------
    value : float
        A fraction.

    Returns
    -------
    str or float
        A percentage where the parser reads units, otherwise the fraction.
    """
    if Path(defaults.__file__).with_name("yamlsource.py").exists():
        return f"{100 * value:g}%"
    return value


@dataclass
class BenchFleet(Fleet):
    """A fleet whose targets are bench targets.

    Parameters
    ----------
    loads : int, default=0
        Load processes started so far.
    """

    loads: int = 0

    def __post_init__(self):
        super().__post_init__()
        # Networks of the base class repeat after 160 process ids, so two
        # fleets that run at once could share one.
        pid = os.getpid()
        self.network = f"127.{230 + pid % 20}.{1 + pid // 20 % 250}"

    def start_target(self, index):
        """Start a bench target.

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
        return self.run_module(
            f"target-{index}", address, "harness.benchtarget", "--listen", address,
            *self.targets[index].options,
        )  # fmt: skip

    def change_target(self, index, **behaviour):
        """Change the behaviour of a target.

        Parameters
        ----------
        index : int
            Number of the target.
        **behaviour : object
            ``slowness`` or ``failing``.
        """
        url = f"http://{self.target_address(index)}/-/behaviour"
        self.http.request("PUT", url, body=json.dumps(behaviour).encode())

    def count_attempts(self):
        """Return the sums of the counts of all targets.

        Returns
        -------
        dict of str to int
            Attempts, repeats and what became of them.
        """
        total = {}
        for index in range(len(self.targets)):
            url = f"http://{self.target_address(index)}/-/counts"
            for name, count in self.http.request("GET", url).json().items():
                total[name] = total.get(name, 0) + count
        return total

    def start_load(self, number, path, rate, duration, warm_up, seed, connections=48):
        """Start a load process against one host.

        Parameters
        ----------
        number : int
            Number of the host.
        path : str
            Path of each request.
        rate : float
            Requests a second.
        duration, warm_up : float
            Seconds.
        seed : int
            Seed of the arrivals.
        connections : int, default=48
            Connections of the load process.

        Returns
        -------
        Process
            The load process; it ends by itself.
        """
        self.loads += 1
        url = f"http://{self.entry_address(number)}{path}"
        return self.run_module(
            f"load-{self.loads}", "", "redwingspring", "load", url,
            "--rate", str(rate), "--duration", str(duration),
            "--warm-up", str(warm_up), "--connections", str(connections),
            "--seed", str(seed), "--json",
        )  # fmt: skip

    def collect_load(self, processes, timeout):
        """Return the sum of the results of load processes.

        Parameters
        ----------
        processes : sequence of Process
            The load processes.
        timeout : float
            Seconds to wait for each.

        Returns
        -------
        LoadResult
            The sum.
        """
        total = LoadResult()
        for process in processes:
            process.wait(timeout)
            total.add(LoadResult.from_dict(json.loads(process.log.read_text())))
            del self.processes[process.name]
        return total


class Noise:
    """Slows a third of the targets for a short time at random times.

    Parameters
    ----------
    fleet : BenchFleet
        The fleet.
    seed : int
        Seed of times and targets.
    """

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = random.Random(seed)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="noise", daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopping.set()
        self._thread.join()

    def _run(self):
        count = len(self._fleet.targets)
        while not self._stopping.wait(self._random.expovariate(1 / NOISE_GAP_S)):
            chosen = self._random.sample(range(count), count // 3)
            for index in chosen:
                self._fleet.change_target(index, slowness=NOISE_SLOWNESS)
            self._stopping.wait(NOISE_S)
            for index in chosen:
                self._fleet.change_target(index, slowness=1.0)

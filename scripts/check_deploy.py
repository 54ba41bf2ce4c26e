"""Start the entry process as the platform does, from what deploy/ installs."""

import argparse
import os
import signal
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from tests.standins import find_port  # noqa: E402
from tests.test_deploy import FIELDS, render  # noqa: E402

STOP_TIMEOUT_S = 20
ADDRESSES = ("listen.front", "listen.ready", "listen.directory", "provider.address")


def write_settings(path):
    """Write the settings of a host on loopback."""
    template = (ROOT / "deploy" / "entry.yaml").read_text()
    fields = {name: f"127.0.0.1:{find_port()}" for name in ADDRESSES}
    fields["ip"] = "127.0.0.1"
    fields["internal_ports.0"] = str(find_port())
    text = render(template, fields={**FIELDS, **fields})
    path.write_text(text.replace(":9464", f":{find_port()}"))


def read_command(settings):
    """Return the command of the deploy file with another settings file."""
    words = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return [*words["roles"]["entry"]["run"].split()[:-1], str(settings)]


def start_and_stop(packages, settings):
    """Start the process, stop it once it serves; return its exit code."""
    # As on the platform: no virtual environment, and no other variables.
    environment = {"PATH": os.environ["PATH"], "PYTHONPATH": str(packages)}
    process = subprocess.Popen(
        read_command(settings),
        cwd=ROOT,
        env=environment,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        line = process.stdout.readline()
        if "process started" not in line:
            print(f"the process did not start: {line!r}")
            return 1
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)
    finally:
        process.kill()


def main():
    """Check the packages in a folder; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("packages", type=Path, help="Where the build installed them.")
    packages = parser.parse_args().packages.resolve()
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "settings.conf"
        write_settings(settings)
        code = start_and_stop(packages, settings)
    print("the deployed entry process starts and stops" if code == 0 else "failed")
    return code


if __name__ == "__main__":
    sys.exit(main())

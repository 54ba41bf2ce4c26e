"""Measure the growth of an entry process during a large transfer."""

import argparse
import hashlib
import sys
from pathlib import Path

from harness.fleet import Fleet, TargetSpec
from redwingspring.standinbehaviour import slice_content

LIMIT_KIB = 16 << 10
SMALL = 1 << 20
PART = 64 << 10


def read_memory(process, field="VmHWM"):
    """Return a memory figure of a process in KiB; VmHWM is its highest use."""
    status = Path(f"/proc/{process.popen.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith(field))
    return int(line.split()[1])


def download(fleet, size):
    """Download through the entry host; return whether the content is right."""
    answer = fleet.get(0, f"/bundle-store/download/{size}", preload_content=False)
    received, digest = 0, hashlib.sha256()
    for part in answer.stream(PART):
        received += len(part)
        digest.update(part)
    expected = hashlib.sha256()
    for part in slice_content(size, 0, size):
        expected.update(part)
    return received == size and digest.digest() == expected.digest()


def upload(fleet, size):
    """Upload in chunks; return whether the target got all bytes."""
    parts = (bytes(PART) for _ in range(size // PART))
    answer = fleet.request("POST", 0, "/bundle-store/up", body=parts, chunked=True)
    return answer.data == f"POST /up {size}\n".encode()


def measure(size):
    """Return a line for each transfer, and whether all is right."""
    targets = (TargetSpec("bundle-store", "akl-a", ("--work-ms", "0")),)
    defaults = {"request.body": "1GiB", "request.deadline": "600s"}
    settings = {"max_body_bytes": 2 << 30}
    lines, good = [], True
    with Fleet(targets, hosts=1, defaults=defaults, settings=settings) as fleet:
        for transfer in (download, upload):
            transfer(fleet, SMALL)
            before = read_memory(fleet.entries[0])
            whole = transfer(fleet, size)
            growth = read_memory(fleet.entries[0]) - before
            good = good and whole and growth <= LIMIT_KIB
            name = transfer.__name__
            lines.append(f"{name} of {size >> 20} MiB: whole {whole}, +{growth} KiB")
    return lines, good


def main():
    """Print the growth; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--mib", type=int, default=1024, help="size of each transfer")
    lines, good = measure(parser.parse_args().mib << 20)
    print("\n".join(lines))
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())

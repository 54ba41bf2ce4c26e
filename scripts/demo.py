"""Show the main job: start a fleet, send requests of each kind, check outcomes."""

import hashlib
import sys

from harness.fleet import Fleet, TargetSpec

DOWNLOAD_BYTES = 64 << 20


class Demo:
    """Prints one line for each outcome and remembers whether any is wrong."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.failed = False

    def report(self, name, good, detail):
        """Print an outcome."""
        self.failed = self.failed or not good
        print(f"{'ok   ' if good else 'WRONG'} {name}: {detail}")

    def ask_address(self):
        answer = self.fleet.get(0, "/-/address/fault-desk").json()
        addresses = [host["address"] for host in answer["hosts"]]
        good = len(addresses) == self.fleet.hosts
        keep = answer["keep_seconds"]
        self.report("address", good, f"use {addresses[0]}, keep it {keep:g} s")

    def read_reports(self, count):
        answers = [
            self.fleet.get(n % self.fleet.hosts, f"/fault-desk/reports/{n}")
            for n in range(count)
        ]
        good = sum(
            answer.status == 200 and answer.data == f"GET /reports/{n} 0\n".encode()
            for n, answer in enumerate(answers)
        )
        self.report("reads", good == count, f"{good} of {count} answered whole")

    def post_dispatches(self, count):
        good = 0
        for n in range(count):
            answer = self.fleet.request(
                "POST",
                n % self.fleet.hosts,
                "/fault-desk/dispatches",
                body=b"crossing 17",
                headers={"Request-Id": f"dispatch-{n}"},
            )
            good += answer.status == 200
        self.report("posts", good == count, f"{good} of {count} accepted")

    def repeat_dispatch(self):
        answer = self.fleet.request(
            "POST",
            0,
            "/fault-desk/dispatches",
            body=b"crossing 17",
            headers={"Request-Id": "dispatch-0"},
        )
        good = answer.status == 409 and answer.headers["Request-Run"] == "may-have-run"
        self.report("repeated post", good, f"status {answer.status}, not run again")

    def download_bundle(self):
        answer = self.fleet.get(
            1, f"/bundle-store/download/{DOWNLOAD_BYTES}", preload_content=False
        )
        size, digest = 0, hashlib.sha256()
        for part in answer.stream(1 << 16):
            size += len(part)
            digest.update(part)
        good = size == DOWNLOAD_BYTES
        self.report("download", good, f"{size} bytes, {digest.hexdigest()[:12]}")

    def refuse_unknown(self):
        answer = self.fleet.get(0, "/no-such-service/")
        good = answer.headers.get("Request-Run") == "not-run"
        self.report("refusal", good, answer.data.decode().splitlines()[0])


def main():
    """Run the demonstration; return the exit code."""
    targets = (
        TargetSpec("fault-desk", "akl-a"),
        TargetSpec("fault-desk", "ham-b"),
        TargetSpec("bundle-store", "akl-a"),
        TargetSpec("bundle-store", "ham-b"),
    )
    with Fleet(targets, hosts=2, data_centres=("akl-a", "ham-b")) as fleet:
        demo = Demo(fleet)
        demo.ask_address()
        demo.read_reports(40)
        demo.post_dispatches(20)
        demo.repeat_dispatch()
        demo.download_bundle()
        demo.refuse_unknown()
    return 1 if demo.failed else 0


if __name__ == "__main__":
    sys.exit(main())

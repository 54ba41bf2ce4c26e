import hashlib
import http.client
import random
import threading
from collections import Counter

from redwingspring.standinbehaviour import TargetBehaviour, slice_content

from .base import RedwingspringTestCase
from .datapath import DataPathFixture

THREADS = 16
REQUESTS = 40
FAULTS = (
    "crossed-id", "extra-bytes", "late-answer", "missing-id", "no-answer",
    "over-long", "reset-after-work", "reset-in-body", "truncated", "refuse",
)  # fmt: skip


class ConcurrentCallersTest(RedwingspringTestCase):
    """Concurrent callers share pooled connections to targets that inject faults.

    Guards against responses delivered to the wrong caller, corrupted bodies, POSTs
    that run twice and requests reported as not run that did run.
    """

    def setUp(self):
        super().setUp()
        faults = [{"name": name, "rate": 0.02} for name in FAULTS]
        behaviour = TargetBehaviour(slots=100, work_s=0.002).change({"faults": faults})
        self.fixture = DataPathFixture(
            self, 3, {"request.deadline": 0.4, "retry.share": 0.5}, behaviour
        )
        self.mismatches = []
        self.outcomes = Counter()
        self.reported_not_run = []

    def call_many(self, number):
        rng = random.Random(number)
        connection = None
        for count in range(REQUESTS):
            if connection is None:
                connection = http.client.HTTPConnection(
                    "127.0.0.1", self.fixture.path.port, timeout=10
                )
            if not self.call_once(connection, rng, f"c{number}-{count}"):
                connection.close()
                connection = None
        if connection is not None:
            connection.close()

    def call_once(self, connection, rng, request_id):
        """Send a request, check its response; return whether to keep the connection."""
        kind = rng.choice(("GET", "POST", "download"))
        body, path = None, f"/x/{request_id}"
        if kind == "POST":
            body, path = rng.randbytes(rng.randrange(1, 100_000)), "/echo"
            expected = body
        elif kind == "download":
            size = rng.randrange(1, 100_000)
            path = f"/download/{size}"
            expected = b"".join(slice_content(size, 0, size))
        else:
            expected = f"GET {path} 0\n".encode()
        method = "POST" if kind == "POST" else "GET"
        try:
            connection.request(method, f"/desk{path}", body, {"Request-Id": request_id})
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException):
            self.outcomes["broken"] += 1
            return False
        verdict = response.headers.get("Request-Run")
        self.outcomes[verdict or response.status] += 1
        if verdict == "not-run":
            self.reported_not_run.append(request_id)
        if verdict is None and data != expected:
            digest = hashlib.sha256(data).hexdigest()[:12]
            self.mismatches.append(f"{request_id} {kind} {len(data)} bytes {digest}")
        if response.headers["Request-Id"] != request_id:
            self.mismatches.append(f"{request_id} got {response.headers['Request-Id']}")
        return not response.will_close

    def test_callers_get_their_own_bytes_and_posts_run_once(self):
        threads = [
            threading.Thread(target=self.call_many, args=(number,))
            for number in range(THREADS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual([], self.mismatches)
        runs = Counter(run["request"] for run in self.fixture.runs())
        self.assertEqual([], [name for name in self.reported_not_run if runs[name]])
        posts = Counter(
            run["request"] for run in self.fixture.runs() if run["method"] == "POST"
        )
        self.assertEqual([], [name for name, count in posts.items() if count > 1])
        self.assertGreater(self.outcomes[200], THREADS * REQUESTS // 2)
        self.assertGreater(self.outcomes["may-have-run"], 0, self.outcomes)

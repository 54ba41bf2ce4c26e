"""Answers of a faulty target whose body does not end.

Two of six targets send bytes without end in the body of a small part of their answers,
until their caller closes. Judged is whether callers, whose time budget is longer than the
timeout of their route, have a final answer soon after this timeout.
"""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import (  # noqa: E402
    ORDERS,
    POSTS,
    READS,
    TROUBLE,
    Caller,
    ConnectionEnded,
    Target,
    read_head,
    run_case,
)

# Routes and time budgets of the site malabon-braille, in seconds.
TIMEOUT_S = {"GET": 1.2, "POST": 1.5}
BUDGET_S = {"GET": 2.5, "POST": 3.0}
LIMIT_AFTER_S = 0.5
# Largest dose of garble in the site file: share 0.35, x 0.02, for 5.5 s; here 2 of 6.
TARGETS = 6
FAULTY_TARGETS = 2
ENDLESS_SHARE = 0.02
GARBLE_S, GARBLE_PAUSE_S = 5.5, 1.0
REQUESTS_PER_S = 120.0
LENGTH_S = 45.0
BYTES_AT_ONCE = 16 << 10
WRITE_INTERVAL_S = 0.004


class EndlessTarget(Target):
    """Target that never ends the body of some answers."""

    is_faulty = False

    async def write_endless(self, writer, connection, line, request_id, response):
        """Write an answer, or a body without an end until the host closes."""
        if request_id is None or not self.is_faulty or random.random() > ENDLESS_SHARE:
            return await self.write_whole(writer, connection, line, request_id, response)
        self.rig.record.write("endless", self.id, request_id)
        self.rig.endless.add(request_id)
        head = response.partition(b"\r\n\r\n")[0].split(b"\r\n")
        head = [x for x in head if not x.startswith(b"Content-Length")]
        writer.write(b"\r\n".join([*head, b"", b""]))
        while True:
            writer.write(b"z" * BYTES_AT_ONCE)
            await writer.drain()
            await asyncio.sleep(WRITE_INTERVAL_S)


async def read_all(caller):
    """Read a response to its end, whatever its length; return its status."""
    line, headers = await read_head(caller.reader)
    if headers.get("transfer-encoding") == "chunked":
        while int(size := await caller.reader.readuntil(b"\r\n"), 16):
            await caller.reader.readexactly(int(size, 16) + 2)
        await caller.reader.readuntil(b"\r\n")
    elif "content-length" in headers:
        await caller.reader.readexactly(int(headers["content-length"]))
    else:
        while await caller.reader.read(1 << 16):
            pass
    return int(line.split(" ")[1])


async def send(rig, entry, method, path, request_id, ends):
    """Send one request; record after how long it had its final answer, or None."""
    started = time.monotonic()
    caller = await Caller.connect(entry.address, limit=1 << 20)
    body = b"order" if method == "POST" else b""
    rig.record.write("sent", method, path, request_id)
    budget_s = BUDGET_S[method]
    caller.write(method, path, request_id, body, deadline_ms=int(budget_s * 1000))
    try:
        status = await asyncio.wait_for(read_all(caller), budget_s)
        ends[request_id] = time.monotonic() - started
        rig.record.write("answered", request_id, status)
    except TimeoutError:
        ends[request_id] = None
        rig.record.write("no final answer within the time budget", request_id)
    except (ConnectionEnded, asyncio.IncompleteReadError, OSError) as error:
        ends[request_id] = time.monotonic() - started
        rig.record.write("broken off", request_id, f"{ends[request_id]:.3f} s", error)
    finally:
        caller.writer.transport.abort()


async def case(rig):
    """Return whether a rule was broken."""
    rig.endless = set()
    rig.targets = [EndlessTarget(rig, f"i-{n}", ORDERS) for n in range(TARGETS)]
    for target in rig.targets:
        target.work_s = 0.12
        target.write_answer = target.write_endless
    await rig.start(2)
    ends, tasks = {}, []
    started = time.monotonic()
    while (elapsed_s := time.monotonic() - started) < LENGTH_S:
        on = TROUBLE and elapsed_s % (GARBLE_S + GARBLE_PAUSE_S) < GARBLE_S
        for target in rig.targets[:FAULTY_TARGETS]:
            target.is_faulty = on
        number = len(tasks) + 1
        method = random.choice(("GET", "POST"))
        prefix = POSTS if method == "POST" else READS
        tasks.append(asyncio.create_task(send(
            rig, random.choice(rig.entries), method, f"{prefix}{number}",
            f"{method}-{number}", ends,
        )))  # fmt: skip
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks, return_exceptions=True)
    return judge(rig, ends)


def judge(rig, ends):
    """Apply the rule CONFIG as it is written: eight or more, and over a quarter."""
    long, unanswered = 0, []
    for request_id, after_s in ends.items():
        timeout_s = TIMEOUT_S[request_id.partition("-")[0]]
        if after_s is not None and after_s <= timeout_s:
            continue
        long += 1
        if after_s is None or after_s > timeout_s + LIMIT_AFTER_S:
            unanswered.append(request_id)
            rig.record.write("CONFIG", request_id, "has no final answer in time")
    print(f"requests {len(ends)}, endless bodies {len(rig.endless)}, longer than their "
          f"route's timeout {long}, of these without a final answer 0.5 s later "
          f"{len(unanswered)}")  # fmt: skip
    return len(unanswered) >= 8 and len(unanswered) > long / 4


if __name__ == "__main__":
    run_case(FOLDER, case)

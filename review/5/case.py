"""Requests whose heads arrive while the host closes its idle connections.

Hosts are stopped with SIGTERM and started again while callers on slow links send their
requests on kept connections. Judged is what the targets ran and what the callers were
answered.
"""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import (  # noqa: E402
    GRACE_S,
    ORDERS,
    POSTS,
    TROUBLE,
    Caller,
    ConnectionEnded,
    Link,
    Target,
    run_case,
)

# Sheet of malabon-braille: one way to requesters.
LINK_DELAY_S = 0.008
# Hosts are stopped and started in turn, as roll_term does, several times.
HOSTS = 2
ROUNDS = 3
GAP_S = 5.0
# At each host, in each round.
CALLERS = 10
# A caller on a slow device closes its side so long after it sees the end.
REACTION_S = 0.3
# The limit header_timeout_s of the configuration is 3 s; these callers need less.
HEAD_TAKES_S = 0.5
# The heads are complete within this time after SIGTERM.
FIRST_END_S, LAST_END_S = 2.99, 3.015
LOST_SLACK_S = 0.2


async def send_slowly(rig, caller, number, start_at, outcomes):
    """Send a request whose head takes a while on a connection that is kept open."""
    request_id = f"slow-{number}"
    await asyncio.sleep(start_at - time.monotonic())
    data = Caller.render("POST", f"{POSTS}{number}", request_id, deadline_ms=2500)
    half = len(data) // 2
    try:
        caller.writer.write(data[:half])
        await asyncio.sleep(HEAD_TAKES_S)
        if caller.reader.at_eof():
            rig.record.write("closed", request_id, "before the rest was sent")
            outcomes[request_id] = "not sent", None
            return
        rig.record.write("sent", "POST", request_id)
        caller.writer.write(data[half:])
        sent_at = time.monotonic()
        status, _, _ = await caller.read()
        rig.record.write("answered", request_id, status)
        outcomes[request_id] = "answered", status
    except (ConnectionEnded, OSError) as error:
        after_s = time.monotonic() - sent_at
        rig.record.write("cut", request_id, f"{after_s:.3f} s after its last byte", error)
        await asyncio.sleep(REACTION_S)
        outcomes[request_id] = "cut", after_s
    finally:
        caller.close()


async def case(rig):
    """Return whether a rule was broken."""
    rig.targets = [Target(rig, f"i-{n}", ORDERS) for n in range(6)]
    for target in rig.targets:
        target.work_s = 0.16
    await rig.start(HOSTS)
    links = []
    for entry in rig.entries:
        link = Link(entry.address, LINK_DELAY_S)
        await link.start()
        links.append(link)
    outcomes = {}
    started = time.monotonic()
    await asyncio.gather(*(
        play_rounds(rig, entry, link, started + which * GAP_S, outcomes)
        for which, (entry, link) in enumerate(zip(rig.entries, links, strict=True))
    ))  # fmt: skip
    return judge(rig, outcomes)


async def play_rounds(rig, entry, link, first_at, outcomes):
    """Stop and start a host in each round."""
    for number in range(ROUNDS):
        await asyncio.sleep(first_at + number * HOSTS * GAP_S - time.monotonic())
        await play_round(rig, entry, link, number, outcomes)


async def play_round(rig, entry, link, number, outcomes):
    """Stop a host while callers send the rest of their heads, and start it again."""
    await entry.wait_until_ready()
    callers = []
    for n in range(CALLERS):
        caller = await Caller.connect(link.address)
        caller.write("POST", f"{POSTS}first", f"first-{entry.number}-{number}-{n}")
        await caller.read()
        callers.append(caller)
    if TROUBLE:
        entry.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    first_at = stopped_at + FIRST_END_S - HEAD_TAKES_S
    span_s = LAST_END_S - FIRST_END_S
    await asyncio.gather(*(
        send_slowly(
            rig,
            caller,
            f"{entry.number}-{number}-{n}",
            first_at + span_s * random.random(),
            outcomes,
        )
        for n, caller in enumerate(callers)
    ))  # fmt: skip
    if TROUBLE:
        await asyncio.wait_for(entry.process.wait(), GRACE_S + 2)
        await entry.start()


def judge(rig, outcomes):
    """Apply the rule LOST, for planned work, as it is written."""
    counts = rig.count_runs()
    lost = []
    for request_id, (end, after_s) in outcomes.items():
        if end != "cut":
            continue
        if request_id in counts or after_s > LOST_SLACK_S:
            lost.append(request_id)
            rig.record.write("LOST", request_id, f"ran {counts.get(request_id, 0)} times")
    ends = [end for end, _ in outcomes.values()]
    print({end: ends.count(end) for end in set(ends)}, "lost", len(lost),
          "of which ran", sum(key in counts for key in lost))  # fmt: skip
    return bool(lost)


if __name__ == "__main__":
    run_case(FOLDER, case)

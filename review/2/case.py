"""Pipelined requests that cross the last response of a host that is stopped.

Callers send further downloads before the first one was answered, over links with the
delay of the site. A host is stopped with SIGTERM. Judged is what the targets ran and
what the callers were answered.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import (  # noqa: E402
    GRACE_S,
    LIBRARY,
    TROUBLE,
    Link,
    PipeliningCaller,
    Target,
    fill_body,
    run_case,
)

# Sheet of malabon-braille: one way to requesters.
LINK_DELAY_S = 0.008
CALLERS = 40
BODY_BYTES = 500_000
WORK_S = 0.096
GAPS_S = (0.06, 0.2)
LAST_SEND_S = 2.5


async def case(rig):
    """Return whether a rule was broken."""
    rig.targets = [Target(rig, f"i-{n}", LIBRARY, slots=12) for n in range(8)]
    for target in rig.targets:
        target.work_s = WORK_S
        target.choose_body = lambda line, request_id: fill_body(request_id, BODY_BYTES)
    await rig.start(2)
    entry = rig.entries[0]
    link = Link(entry.address, LINK_DELAY_S)
    await link.start()
    callers = [PipeliningCaller(rig, n, GAPS_S) for n in range(CALLERS)]
    end_at = time.monotonic() + 2.0 + LAST_SEND_S
    tasks = [asyncio.create_task(c.run(link.address, end_at)) for c in callers]
    await asyncio.sleep(2.0)
    if TROUBLE:
        entry.send_signal(signal.SIGTERM)
    _, pending = await asyncio.wait(tasks, timeout=GRACE_S + 2)
    for task in pending:
        task.cancel()
    return judge(rig, callers)


def judge(rig, callers):
    """Apply the rule LOST, for planned work, as it is written."""
    counts = rig.count_runs()
    unanswered = [key for caller in callers for key in caller.list_cut()]
    lost = [key for key in unanswered if key in counts]
    for key in lost:
        rig.record.write("LOST", key, "was passed on to a target, without an answer")
    print(f"requests that ran {len(counts)}, unanswered {len(unanswered)}, "
          f"of which passed on {len(lost)}")  # fmt: skip
    return bool(lost)


if __name__ == "__main__":
    run_case(FOLDER, case)

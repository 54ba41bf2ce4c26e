"""Runs the command line with mechanisms turned off or adapted to the harness.

``make prove-red`` uses it to show that each scenario fails without the
mechanism that it proves. The product itself has no such switch.
"""

import sys
import time

from redwingspring.registry import Registry

mutations = Registry("mutation")


def run(names, arguments):
    """Apply mutations, then run the command line."""
    for name in names:
        mutations.find(name)()
    from redwingspring.cmdline import app

    app(arguments, prog_name="redwingspring")


@mutations.register("proof")
def forget_what_was_sent():
    """Say not-run for every failed attempt."""
    from redwingspring import upstream
    from redwingspring.verdict import refuse

    upstream._blame = lambda connection, reason, detail: refuse(reason, detail)


@mutations.register("once")
def retry_everything():
    """Retry what may have run, idempotent or not."""
    from redwingspring.dispatch import Dispatcher

    may_repeat = Dispatcher._may_repeat

    def repeat_doubtful(self, call, admission, failure):
        if not failure.proves_not_run and call.body.replayable:
            return True
        return may_repeat(self, call, admission, failure)

    Dispatcher._may_repeat = repeat_doubtful


@mutations.register("whole")
def relay_unchecked():
    """Relay responses without checks of their owner and their end."""
    from redwingspring import relay, upstream

    upstream._check_head = lambda response, limits, attempt: None
    read = relay.RelayBody._read

    def read_short(self):
        try:
            return read(self)
        except upstream.ResponseBroken:
            return b""

    relay.RelayBody._read = read_short


@mutations.register("guard")
def send_unguarded():
    """Send without the check before the first byte."""
    from redwingspring.dispatch import Dispatcher

    Dispatcher._check_send = lambda self, decision, deadline: None


@mutations.register("leases")
def lease_everything():
    """Grant every lease to everybody."""
    from redwingspring.grants import GrantAnswer, GrantTable

    GrantTable.request = lambda self, *args: GrantAnswer(True, 99)


@mutations.register("probe-leases")
def probe_unleased():
    """Probe without asking the grantors."""
    from redwingspring.quorum import PendingRequest, QuorumClient
    from redwingspring.slots import PROBE

    request_grants = QuorumClient.request_grants

    def agree(self, grantors, request):
        if request.kind != PROBE:
            return request_grants(self, grantors, request)
        pending = PendingRequest(1)
        pending.record(True, 1)
        return pending

    QuorumClient.request_grants = agree


@mutations.register("probe-reports")
def probe_reporting_targets():
    """Probe targets whether they have reported their load or not."""
    from redwingspring.probes import Watch
    from redwingspring.targets import NEVER, TargetState

    never = property(lambda self: NEVER)
    Watch.own_report_time = Watch.peer_report_time = TargetState.latest_report_time = (
        never
    )


@mutations.register("probe-lists")
def forget_former_lists():
    """Trust the grantors under a new host list at once."""
    from redwingspring import hosthistory

    hosthistory.quorums_intersect = lambda first, second: True


@mutations.register("drain")
def stop_at_once():
    """End the process on SIGTERM without waiting."""
    from redwingspring.control import Entry

    Entry.drain = Entry.stop


@mutations.register("leaving")
def ignore_leaving():
    """Give work to targets that leave or are out."""
    from redwingspring.targets import TargetState

    TargetState.accepts_work = lambda self, now: self.ejected_until <= now
    TargetState.is_ready = lambda self, now: (
        not self.is_cold and self.in_flight < self.limits.slots
    )


@mutations.register("distribution")
def distribute_nothing():
    """Neither push values to peers nor pull them, and poll rarely."""
    from redwingspring import publication
    from redwingspring.publication import Publication

    publication.POLLS_PER_S = 0.1

    Publication._push = lambda self, value: None
    Publication._handle_stamp = lambda self, sender, key, stamp: None


@mutations.register("order")
def accept_older_values():
    """Accept any value that differs from the one in force."""
    from redwingspring.servicereader import ServiceReader
    from redwingspring.values import ValueStore

    ValueStore.is_settled = lambda self, key, stamp: stamp == self.stamp(key)
    ValueStore.highest_revision = lambda self, key: 0
    read = ServiceReader.read

    def read_at_once(self, key, after=0, wait=0):
        time.sleep(0.2)
        return read(self, key, 0, 0)

    ServiceReader.read = read_at_once


@mutations.register("isolation")
def serve_alone():
    """Serve as soon as a configuration is known, whoever is heard."""
    from redwingspring.membership import Membership

    check = Membership.check_serving

    def check_ready_only(self):
        return None if self._ready else check(self)

    Membership.check_serving = check_ready_only


@mutations.register("news")
def keep_news():
    """Tell no other host that a target turned cold or leaves."""
    from redwingspring.temperatures import TemperatureExchange

    TemperatureExchange.apply_message = lambda self, sender, news: None


@mutations.register("clock-steps")
def step_clock():
    """Let the time of day jump by two seconds, forth and back."""
    read_time = time.time
    time.time = lambda: read_time() + 2.0 * (int(time.monotonic() / 3) % 2)


if __name__ == "__main__":
    run([name for name in sys.argv[1].split(",") if name], sys.argv[2:])

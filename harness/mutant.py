"""Command line with mutations: mechanisms disabled or changed for a scenario.

``make prove-red`` runs each scenario without the mechanism that it covers and
checks that the scenario fails. The product itself cannot disable them.
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


def replace(owner, name, value):
    """Replace an attribute, which must exist: a new one would disable nothing."""
    getattr(owner, name)
    setattr(owner, name, value)


@mutations.register("proof")
def report_all_failures_not_run():
    """Report every failed attempt as not-run."""
    from redwingspring import upstream
    from redwingspring.verdict import refuse

    def build_failure(connection, reason, detail, status=503):
        return refuse(reason, detail, status)

    replace(upstream, "_build_failure", build_failure)


@mutations.register("once")
def retry_non_idempotent():
    """Retry requests that may have run, even if they are not idempotent."""
    from redwingspring.dispatch import Dispatcher

    may_repeat = Dispatcher._may_repeat

    def may_repeat_doubtful(self, call, admission, failure):
        if not failure.proves_not_run and call.body.replayable:
            return True
        return may_repeat(self, call, admission, failure)

    replace(Dispatcher, "_may_repeat", may_repeat_doubtful)


@mutations.register("whole")
def skip_response_checks():
    """Relay responses without checking their attempt id and completeness."""
    from redwingspring import relay, upstream

    replace(upstream, "check_head", lambda *arguments: None)
    read = relay.RelayBody._read

    def end_body_early(self):
        try:
            return read(self)
        except upstream.ResponseBroken:
            return b""

    replace(relay.RelayBody, "_read", end_body_early)


@mutations.register("guard")
def skip_send_check():
    """Send requests without the check before the first byte."""
    from redwingspring.dispatch import Dispatcher

    replace(Dispatcher, "_check_send", lambda self, decision, deadline: None)


@mutations.register("leases")
def grant_all_leases():
    """Grant every lease request."""
    from redwingspring.grants import GrantAnswer, GrantTable

    replace(GrantTable, "request", lambda self, *args: GrantAnswer(True, 99))


@mutations.register("probe-leases")
def probe_without_leases():
    """Probe without requesting a lease from the grantors."""
    from redwingspring.policy.slots import PROBE
    from redwingspring.quorum import PendingRequest, QuorumClient

    request_grants = QuorumClient.request_grants

    def grant_probe_requests(self, grantors, request):
        if request.kind != PROBE:
            return request_grants(self, grantors, request)
        pending = PendingRequest(1)
        pending.record(True, 1)
        return pending

    replace(QuorumClient, "request_grants", grant_probe_requests)


@mutations.register("probe-reports")
def ignore_load_reports():
    """Probe targets even if they have reported their load recently."""
    from redwingspring.probes import Watch
    from redwingspring.targets import NEVER, TargetState

    never_reported = property(lambda self: NEVER)
    replace(Watch, "own_report_time", never_reported)
    replace(Watch, "peer_report_time", never_reported)
    replace(TargetState, "latest_report_time", never_reported)


@mutations.register("probe-lists")
def ignore_former_host_lists():
    """Accept leases of the grantors of a new host list immediately."""
    from redwingspring import hosthistory

    replace(hosthistory, "quorums_intersect", lambda first, second: True)


@mutations.register("drain")
def stop_without_drain():
    """Stop the process on SIGTERM without draining."""
    from redwingspring.control import Entry

    replace(Entry, "drain", Entry.stop)


@mutations.register("leaving")
def ignore_leaving_targets():
    """Send requests to targets that are leaving or out of service."""
    from redwingspring.targets import TargetState

    replace(TargetState, "accepts_work", lambda self, now: self.ejected_until <= now)

    def is_ready(self, now):
        return not self.is_cold and self.in_flight < self.limits.slots

    replace(TargetState, "is_ready", is_ready)


@mutations.register("distribution")
def disable_distribution():
    """Neither push values to peers nor pull them, and poll the service rarely."""
    from redwingspring import publication
    from redwingspring.publication import Publication

    replace(publication, "POLLS_PER_S", 0.1)

    replace(Publication, "_push", lambda self, value: None)
    replace(Publication, "_handle_stamp", lambda self, sender, key, stamp: None)


@mutations.register("order")
def accept_older_values():
    """Accept any value that differs from the one in force."""
    from redwingspring.servicereader import ServiceReader
    from redwingspring.values import ValueStore

    replace(ValueStore, "is_settled", lambda self, key, stamp: stamp == self.stamp(key))
    replace(ValueStore, "highest_revision", lambda self, key: 0)
    read = ServiceReader.read

    def read_without_waiting(self, key, after=0, wait=0):
        time.sleep(0.2)
        return read(self, key, 0, 0)

    replace(ServiceReader, "read", read_without_waiting)


@mutations.register("isolation")
def ignore_isolation():
    """Serve as soon as a configuration is known, without live peers."""
    from redwingspring.membership import Membership

    check = Membership.check_serving

    def check_configuration_only(self):
        return None if self._ready else check(self)

    replace(Membership, "check_serving", check_configuration_only)


@mutations.register("news")
def suppress_target_news():
    """Ignore news from other hosts that a target turned cold or is leaving."""
    from redwingspring.temperatures import TemperatureExchange

    replace(TemperatureExchange, "apply_message", lambda self, sender, news: None)


@mutations.register("clock-steps")
def step_clock():
    """Step the wall clock forwards and backwards by two seconds."""
    read_time = time.time
    replace(time, "time", lambda: read_time() + 2.0 * (int(time.monotonic() / 3) % 2))


if __name__ == "__main__":
    run([name for name in sys.argv[1].split(",") if name], sys.argv[2:])

"""Attempts of one call, and what becomes of its admission without any."""

from types import SimpleNamespace
from unittest.mock import Mock, patch

from redwingspring.deliveries import Delivery
from redwingspring.routeforwarder import RouteForwarder
from redwingspring.verdict import Reason, fail_uncertain, refuse

from .base import RedwingspringTestCase


class FailedHedgeTest(RedwingspringTestCase):
    def hedge(self, failure):
        """Return a delivery of which a hedge failed while it was sent."""
        call = SimpleNamespace(service=SimpleNamespace(name="desk"))
        with patch("redwingspring.deliveries.TargetSearch"):
            delivery = Delivery(Mock(), call)
        delivery._send_attempt = Mock(return_value=failure)
        delivery._hedge([])
        return delivery

    def run_refused(self, delivery):
        """Return the failure that is reported once all other attempts are refused."""
        refusal = refuse(Reason.TARGET_REFUSED, "the target refused the request")
        found = SimpleNamespace(is_error=lambda: True, error=refusal)
        delivery._search.find = lambda: found
        return delivery.run().error

    def test_a_hedge_that_may_have_run_forbids_the_status_of_a_refusal(self):
        """The caller would send a request again that may have run."""
        reset = fail_uncertain(Reason.RESET, "the target reset the connection")
        self.assertEqual(reset, self.run_refused(self.hedge(reset)))

    def test_a_hedge_that_was_not_sent_does_not_hide_a_refusal(self):
        unsent = refuse(Reason.STALE_DECISION, "the target wants a pause")
        failure = self.run_refused(self.hedge(unsent))
        self.assertEqual(Reason.TARGET_REFUSED, failure.reason)


class AdmittedRequestTest(RedwingspringTestCase):
    def test_an_exception_before_the_first_attempt_gives_the_admission_back(self):
        """The team would lose a request, and the host a part of its buffers."""
        forwarder = RouteForwarder(*[Mock() for _ in range(9)])
        admitted = Mock(environ={"wsgi.input": Mock()})
        admitted.route.timeout_s = admitted.metadata.time_left_s = 1.0
        with patch("redwingspring.routeforwarder.RequestBody") as body:
            body.return_value.buffer.side_effect = RuntimeError
            self.assertRaises(
                RuntimeError, forwarder._read_admitted, admitted, 0.0, None
            )
        forwarder.rate_limiter.cancel.assert_called_once_with(admitted.admission)
        body.return_value.release.assert_called_once_with()

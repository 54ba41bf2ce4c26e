import random
from dataclasses import replace

from redwingspring.gossip import GossipMessage, decode_gossip, encode_gossip
from redwingspring.policy.usageallotments import RateLimit
from redwingspring.policy.usagemessages import (
    CARRY_SLOTS,
    Carry,
    OwnerStamp,
    UsageAsk,
    UsageReply,
)
from redwingspring.usagereports import (
    MAX_DATAGRAM_BYTES,
    MAX_NAME_LENGTH,
    PREFIX,
    decode_usage,
    encode_usage,
)

from .base import RedwingspringTestCase

STAMP = OwnerStamp(0xFFFFFFFF, 1 << 50)
LIMIT = RateLimit(35.75, 36.5, 1 << 60)
NAME = "h" * MAX_NAME_LENGTH
ASK = UsageAsk(
    3, NAME, (1 << 64) - 1, 65535, True, True, STAMP, (1 << 64) - 1, LIMIT, True
)
CARRY = Carry(0xFFFF, bytes(range(1, CARRY_SLOTS + 1)))
ASK = replace(ASK, carry=CARRY, issued=STAMP)
REPLY = UsageReply(3, NAME, (1 << 64) - 1, STAMP, True, 4.999, 4.999, True, CARRY)


class UsageReportsTest(RedwingspringTestCase):
    def test_messages_survive_encoding_in_a_datagram_of_bounded_size(self):
        for message in (ASK, REPLY, UsageAsk(0, "h", 1), UsageReply(0, "h", 1, STAMP)):
            data = encode_usage(message)
            self.assertEqual(message, decode_usage(data))
            self.assertTrue(len(data) <= MAX_DATAGRAM_BYTES, len(data))

    def test_times_are_rounded_towards_more_requests_and_fewer_rejections(self):
        reply = UsageReply(0, "h", 1, STAMP, False, 0.0019, 0.0011)
        decoded = decode_usage(encode_usage(reply))
        self.assertEqual((0.001, 0.002), (decoded.empty_s, decoded.retry_after_s))

    def test_a_malformed_datagram_is_rejected(self):
        rng = random.Random(5)
        good = [encode_usage(message) for message in (ASK, REPLY)]
        for number in range(600):
            data = bytearray(good[number % 2][: rng.randrange(2, len(good[0]))])
            for _ in range(rng.randrange(4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            decode_usage(bytes(data))
        for data in (b"", PREFIX, PREFIX + b"\xff" * 40, good[0] + bytes(300)):
            self.assertEqual(None, decode_usage(data))

    def test_a_limit_that_is_no_number_is_rejected(self):
        for rate, burst in ((float("nan"), 1.0), (1.0, float("inf")), (-1.0, 0.0)):
            ask = UsageAsk(0, "h", 1, team=5, limit=RateLimit(rate, burst))
            self.assertEqual(None, decode_usage(encode_usage(ask)))
        ask = UsageAsk(0, "h", 1, team=5, limit=RateLimit(0.0, 1.0))
        self.assertEqual(None, decode_usage(encode_usage(ask)))

    def test_tokens_for_a_wrong_number_of_slots_are_rejected(self):
        ask = UsageAsk(0, "h", 1, carry=Carry(1, bytes(CARRY_SLOTS + 1)))
        self.assertEqual(None, decode_usage(encode_usage(ask)))

    def test_a_host_without_a_name_or_with_a_long_one_is_rejected(self):
        for name in ("", "h" * (MAX_NAME_LENGTH + 1)):
            self.assertEqual(None, decode_usage(encode_usage(UsageAsk(0, name, 1))))

    def test_hosts_of_the_previous_version_and_gossip_do_not_mistake_each_other(self):
        self.assertEqual(None, decode_gossip(encode_usage(ASK)))
        self.assertEqual(None, decode_gossip(encode_usage(REPLY)))
        self.assertEqual(None, decode_usage(encode_gossip(GossipMessage(()))))

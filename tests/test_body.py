"""Buffering of request bodies within a budget that all requests share."""

import io
import time

from redwingspring.body import BufferBudget, RequestBody
from redwingspring.upstream import READ_SIZE

from .base import RedwingspringTestCase

CONTENT = b"x" * (4 * READ_SIZE)
LENGTH = len(CONTENT)


def build_body(budget, length=LENGTH):
    stream = io.BytesIO(CONTENT)
    return RequestBody(stream, length, len(CONTENT), time.time() + 5, budget=budget)


class BufferBudgetTest(RedwingspringTestCase):
    def test_many_large_bodies_do_not_fill_the_memory(self):
        # Hundreds of uploads at once were buffered up to their limit each.
        budget = BufferBudget(6 * READ_SIZE)
        bodies = [build_body(budget) for _ in range(3)]
        for body in bodies:
            body.buffer(len(CONTENT))
        received = [body._received_bytes // READ_SIZE for body in bodies]
        self.assertEqual([4, 3, 1], received)

    def test_a_body_that_was_not_buffered_completely_is_sent_completely(self):
        for length in (len(CONTENT), None):
            body = build_body(BufferBudget(READ_SIZE), length)
            body.buffer(len(CONTENT))
            self.assertTrue(body.replayable)
            self.assertEqual(CONTENT, b"".join(body.iter_blocks()))
            self.assertFalse(body.replayable)

    def test_a_released_body_leaves_its_bytes_to_others(self):
        budget = BufferBudget(len(CONTENT))
        for _ in range(3):
            body = build_body(budget)
            body.buffer(len(CONTENT))
            self.assertEqual(len(CONTENT), body._received_bytes)
            body.release()
        self.assertTrue(budget.take(len(CONTENT)))

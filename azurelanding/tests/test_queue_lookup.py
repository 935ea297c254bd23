"""Test how the queue of a request and the advice of a queue are found."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from azurelanding.configuration import Advice, Configuration, Queue

QUEUES = st.builds(
    Queue,
    name=st.sampled_from("pqr"),
    host=st.sampled_from(("h", "i")),
    path_prefix=st.text("/a", max_size=4),
    pool=st.just("cuts"),
    timeout=st.just(3.0),
    priority=st.integers(0, 9),
)


class CountedQueues(tuple):
    """Counts in ``walks`` how often the queues are walked."""

    walks = 0

    def __iter__(self):
        CountedQueues.walks += 1
        return super().__iter__()


class QueueLookupTest(testtools.TestCase):
    """A configuration with many queues, as after a large change of it."""

    def test_queues_are_not_walked_for_each_request_and_each_waiting_step(self):
        advice = Advice(0.1, 0.01, 5.0)
        queues = [
            Queue(f"q{number}", "h", f"/{number}/", "cuts", 3.0, advice=advice)
            for number in range(1000)
        ]
        configuration = Configuration(1, CountedQueues(queues), {})
        self.patch(CountedQueues, "walks", 0)
        self.assertEqual("q999", configuration.find_queue("h", "/999/x").name)
        self.assertEqual(0, CountedQueues.walks)
        self.assertIs(advice, configuration.find_advice("q999"))
        self.assertIsNone(configuration.find_advice("q1000"))
        self.assertEqual(0, CountedQueues.walks)

    @settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @given(st.lists(QUEUES, max_size=6), st.text("/a", max_size=6))
    def test_longest_prefix_counts_and_of_two_alike_the_first(self, queues, path):
        found = Configuration(1, tuple(queues), {}).find_queue("h", path)
        fitting = [
            queue
            for queue in queues
            if queue.host == "h" and path.startswith(queue.path_prefix)
        ]
        longest = max(fitting, key=lambda queue: len(queue.path_prefix), default=None)
        self.assertIs(longest, found)

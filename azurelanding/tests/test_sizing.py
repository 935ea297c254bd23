"""Tests of correcting declared sizes by observed ones."""

import hypothesis
import testtools
from hypothesis import strategies

from azurelanding import sizing
from azurelanding.sizing import JobSizes, Sample
from azurelanding.tasks import Resources

GB = 1 << 30
DECLARED = Resources(8.0, 16 * GB, 1)


def note(sizes, worker, cores, memory, run_time=10.0, at=0.0):
    """Note one sample."""
    sizing.record_sample(sizes, Sample(worker, cores, memory, run_time, at))


class EstimateTest(testtools.TestCase):
    """What the estimate follows and what it resists."""

    def observed(self, workers=4, count=5):
        sizes = JobSizes()
        for number in range(workers * count):
            note(sizes, f"w{number % workers}", 2.0, 4 * GB)
        return sizes

    def test_is_the_declared_size_at_first(self):
        sizes = JobSizes()
        note(sizes, "w0", 1.0, GB)
        found = sizing.estimate(sizes, DECLARED, 60.0)
        self.assertEqual(DECLARED, found.need())
        self.assertFalse(found.observed)

    def test_follows_what_several_workers_saw(self):
        found = sizing.estimate(self.observed(), DECLARED, 60.0)
        self.assertEqual((2.0, 1, 10.0), (found.cores, found.accelerators, 10.0))
        self.assertEqual(int(4 * GB * sizing.MEMORY_MARGIN), found.memory)
        self.assertEqual(10.0, found.run_time)

    def test_one_worker_alone_proves_nothing(self):
        sizes = self.observed(workers=1, count=8)
        self.assertEqual(DECLARED, sizing.estimate(sizes, DECLARED, 60.0).need())

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(allow_nan=True, allow_infinity=True),
                strategies.integers(-1, 1 << 50),
            ),
            max_size=80,
        )
    )
    def test_a_worker_that_lies_moves_nothing(self, lies):
        sizes = self.observed()
        honest = sizing.estimate(sizes, DECLARED, 60.0)
        for number, (cores, memory) in enumerate(lies):
            note(sizes, "liar", cores, memory)
            note(sizes, f"w{number % 4}", 2.0, 4 * GB)
        self.assertEqual(honest, sizing.estimate(sizes, DECLARED, 60.0))

    def test_keeps_a_bounded_number_of_samples(self):
        sizes = JobSizes()
        for number in range(1000):
            note(sizes, f"w{number % 50}", 1.0, GB)
        self.assertEqual(sizing.MAX_SAMPLES, len(sizes.samples))

    def test_forgets_what_is_old(self):
        sizes = self.observed()
        later = sizing.SAMPLE_LIFE_SECONDS + 1.0
        for number in range(8):
            note(sizes, f"w{number % 2}", 6.0, 8 * GB, at=later)
        self.assertEqual(6.0, sizing.estimate(sizes, DECLARED, 60.0).cores)

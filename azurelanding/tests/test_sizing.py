"""Tests of correcting declared sizes by observed values."""

import hypothesis
import testtools
from hypothesis import strategies

from azurelanding import sizing
from azurelanding.sizing import JobSizes, Sample
from azurelanding.tasks import Resources

GB = 1 << 30
DECLARED = Resources(8.0, 16 * GB, 1)


def add_sample(sizes, worker, cores, memory, run_time=10.0, at=0.0):
    """Add one sample."""
    sizing.record_sample(sizes, Sample(worker, cores, memory, run_time, at))


class EstimateTest(testtools.TestCase):
    """The estimate follows several workers but not a single one."""

    def observed(self, workers=4, count=5):
        sizes = JobSizes()
        for number in range(workers * count):
            add_sample(sizes, f"w{number % workers}", 2.0, 4 * GB)
        return sizes

    def test_is_the_declared_size_without_enough_samples(self):
        sizes = JobSizes()
        add_sample(sizes, "w0", 1.0, GB)
        found = sizing.estimate(sizes, DECLARED, 60.0)
        self.assertEqual(DECLARED, found.need())
        self.assertFalse(found.observed)

    def test_need_is_finite_after_thousands_of_memory_failures(self):
        found = sizing.estimate(JobSizes(), DECLARED, 60.0)
        self.assertEqual(2 * DECLARED.memory, found.need(1).memory)
        self.assertEqual(found.need(2000), found.need(5000))

    def test_follows_the_samples_of_several_workers(self):
        found = sizing.estimate(self.observed(), DECLARED, 60.0)
        self.assertEqual((2.0, 1, 10.0), (found.cores, found.accelerators, 10.0))
        self.assertEqual(int(4 * GB * sizing.MEMORY_MARGIN_FACTOR), found.memory)
        self.assertEqual(10.0, found.run_time)

    def test_is_the_declared_size_with_samples_of_one_worker(self):
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
    def test_wrong_reports_of_one_worker_change_nothing(self, wrong_reports):
        sizes = self.observed()
        expected = sizing.estimate(sizes, DECLARED, 60.0)
        for number, (cores, memory) in enumerate(wrong_reports):
            add_sample(sizes, "liar", cores, memory)
            add_sample(sizes, f"w{number % 4}", 2.0, 4 * GB)
        self.assertEqual(expected, sizing.estimate(sizes, DECLARED, 60.0))

    def test_keeps_a_bounded_number_of_samples(self):
        sizes = JobSizes()
        for number in range(1000):
            add_sample(sizes, f"w{number % 50}", 1.0, GB)
        self.assertEqual(sizing.MAX_SAMPLES, len(sizes.samples))

    def test_drops_expired_samples(self):
        sizes = self.observed()
        later = sizing.SAMPLE_RETENTION_SECONDS + 1.0
        for number in range(8):
            add_sample(sizes, f"w{number % 2}", 6.0, 8 * GB, at=later)
        self.assertEqual(6.0, sizing.estimate(sizes, DECLARED, 60.0).cores)

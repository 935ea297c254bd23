"""Test that tasks of a daemon go on after unexpected errors."""

import anyio
import testtools

from azurelanding import supervision
from azurelanding.served_metrics import ServedMetrics
from azurelanding.supervision import Backoff, keep_running
from azurelanding.tests.platform_world import capture_lines


class KeepRunningTest(testtools.TestCase):
    """The repeats of a task that fails."""

    def test_task_runs_again_until_it_returns(self):
        lines = capture_lines(self, supervision)
        metrics, runs, noted = ServedMetrics(), [], []

        async def run():
            runs.append(anyio.current_time())
            if len(runs) < 3:
                raise RecursionError("too deep")

        def note():
            noted.append(len(runs))

        anyio.run(keep_running, "read x", run, metrics, note)
        self.assertEqual((3, [1, 2]), (len(runs), noted))
        self.assertEqual(["task failed"] * 2, [line["event"] for line in lines])
        self.assertTrue(all(line["exc_info"] for line in lines))
        self.assertIn(b"azurelanding_tasks_failed_total 2.0", metrics.text())
        self.assertTrue(runs[1] - runs[0] >= supervision.FIRST_DELAY_SECONDS)

    def test_cancellation_ends_it(self):
        async def main():
            with anyio.move_on_after(0.05) as scope:
                await keep_running("x", anyio.sleep_forever, ServedMetrics())
            return scope.cancelled_caught

        self.assertTrue(anyio.run(main))

    def test_delay_grows_while_the_task_goes_on_failing(self):
        backoff, now, delays = Backoff(), 0.0, []
        for _ in range(9):
            delays.append(backoff.next_delay(now))
            now += delays[-1]
        self.assertEqual([0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 5.0, 5.0, 5.0], delays)
        self.assertEqual(0.1, backoff.next_delay(now + 20.0))

"""Test that records are appended surely once, or the caller is told."""

import anyio
import testtools

from azurelanding.appender import Appender, NotStoredError, OutcomeUnknownError
from azurelanding.standins.platform_store import StoreModel
from azurelanding.store import Producer

RECORD = (("k", b"v"),)


class AppenderTest(testtools.TestCase):
    """Appends through losses, delays and refusals."""

    def run_with(self, scenario):
        """Run ``scenario(appender, model)`` beside an appender."""

        async def main():
            model = StoreModel()
            producer = Producer("p", 1)
            appender = Appender("jobs", 0, model.client(), producer)
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(appender.run)
                with anyio.fail_after(10):
                    await scenario(appender, model)
                task_group.cancel_scope.cancel()

        anyio.run(main)

    def test_lost_answer_is_settled_by_a_repeat(self):
        async def scenario(appender, model):
            model.knobs.lose_answers = 2
            self.assertEqual(0, await appender.append(RECORD, 5.0))
            self.assertEqual(1, model.partitions["jobs", 0].end)

        self.run_with(scenario)

    def test_append_carried_out_late_is_stored_once(self):
        async def scenario(appender, model):
            model.knobs.late_appends = 1
            await appender.append(RECORD, 5.0)
            model.release()
            self.assertEqual(1, model.partitions["jobs", 0].end)

        self.run_with(scenario)

    def test_refused_records_are_surely_not_stored(self):
        async def scenario(appender, model):
            model.knobs.refuse = True
            with testtools.ExpectedException(NotStoredError):
                await appender.append(RECORD, 0.3)
            model.knobs.refuse = False
            await anyio.sleep(0.3)
            self.assertEqual(0, model.partitions["jobs", 0].end)

        self.run_with(scenario)

    def test_unanswered_records_are_unknown_even_after_a_refusal(self):
        async def scenario(appender, model):
            model.knobs.late_appends = 1
            with anyio.move_on_after(0.02):
                await appender.append(RECORD, 5.0)
            model.knobs.refuse = True
            with testtools.ExpectedException(NotStoredError):
                await appender.append((("other", b"v"),), 0.3)
            model.knobs.refuse = False
            await anyio.sleep(0.3)
            self.assertEqual(["k"], list(model.partitions["jobs", 0].newest))

        self.run_with(scenario)

    def test_silence_beyond_patience_is_unknown(self):
        async def scenario(appender, model):
            model.knobs.late_appends = 1_000
            with testtools.ExpectedException(OutcomeUnknownError):
                await appender.append(RECORD, 0.3)

        self.run_with(scenario)

    def test_higher_epoch_fences(self):
        async def scenario(appender, model):
            model.partitions["jobs", 0].append([], Producer("p", 2), 0)
            with testtools.ExpectedException(NotStoredError):
                await appender.append(RECORD, 1.0)
            self.assertIsNotNone(appender.fenced)

        self.run_with(scenario)

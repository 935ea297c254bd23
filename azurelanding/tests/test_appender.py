"""Test that records are stored exactly once, or that the caller gets an error."""

import anyio
import testtools

from azurelanding.appender import Appender, NotStoredError, OutcomeUnknownError
from azurelanding.served_metrics import ServedMetrics
from azurelanding.standins.platform_store import ModelClient, StoreModel
from azurelanding.store import Producer, StoreError
from azurelanding.supervision import keep_running

RECORD = (("k", b"v"),)


class AppenderTest(testtools.TestCase):
    """Appends with lost responses, delays and refusals."""

    def run_with(self, scenario, **options):
        """Run ``scenario(appender, model)`` while the appender runs."""

        async def main():
            model = StoreModel()
            producer = Producer("p", 1)
            appender = Appender("jobs", 0, model.client(), producer, **options)
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(appender.run)
                with anyio.fail_after(10):
                    await scenario(appender, model)
                task_group.cancel_scope.cancel()

        anyio.run(main)

    def test_lost_response_is_resolved_by_a_retry(self):
        async def scenario(appender, model):
            model.knobs.lose_replies = 2
            self.assertEqual(0, await appender.append(RECORD, 5.0))
            self.assertEqual(1, model.partitions["jobs", 0].end)

        self.run_with(scenario)

    def test_delayed_append_is_stored_once(self):
        async def scenario(appender, model):
            model.knobs.delay_appends = 1
            await appender.append(RECORD, 5.0)
            model.release()
            self.assertEqual(1, model.partitions["jobs", 0].end)

        self.run_with(scenario)

    def test_refused_records_are_not_stored_later(self):
        async def scenario(appender, model):
            model.knobs.refuse = True
            with testtools.ExpectedException(NotStoredError):
                await appender.append(RECORD, 0.3)
            model.knobs.refuse = False
            await anyio.sleep(0.3)
            self.assertEqual(0, model.partitions["jobs", 0].end)

        self.run_with(scenario)

    def test_refused_appends_of_all_daemons_stay_below_what_the_store_takes(self):
        # 36 daemons with appends to 5 pools each, of 1,200 writes a second.
        most_per_second = 1_200 / (36 * 5)

        async def scenario(appender, model):
            model.knobs.refuse = True
            calls = []
            append = appender.client.append

            async def counting_append(*arguments):
                calls.append(arguments)
                return await append(*arguments)

            self.patch(appender.client, "append", counting_append)
            with testtools.ExpectedException(NotStoredError):
                await appender.append(RECORD, 2.0)
            self.assertLess(len(calls), 2.0 * most_per_second)
            model.knobs.refuse = False
            self.assertEqual(0, await appender.append(RECORD, 1.0))

        self.run_with(scenario)

    def test_append_without_response_is_retried_after_refusals(self):
        async def scenario(appender, model):
            model.knobs.delay_appends = 1
            with anyio.move_on_after(0.02):
                await appender.append(RECORD, 5.0)
            model.knobs.refuse = True
            with testtools.ExpectedException(NotStoredError):
                await appender.append((("other", b"v"),), 0.3)
            model.knobs.refuse = False
            await anyio.sleep(0.3)
            self.assertEqual(["k"], list(model.partitions["jobs", 0].newest))

        self.run_with(scenario)

    def test_no_response_within_the_wait_is_an_unknown_outcome(self):
        async def scenario(appender, model):
            model.knobs.delay_appends = 1_000
            with testtools.ExpectedException(OutcomeUnknownError):
                await appender.append(RECORD, 0.3)

        self.run_with(scenario)

    def test_append_without_a_waiting_caller_is_not_stored_later(self):
        # It was repeated until the store answered, when the job had run elsewhere.
        async def scenario(appender, model):
            model.knobs.silent = True
            with testtools.ExpectedException(OutcomeUnknownError):
                await appender.append(RECORD, 0.4)
            await anyio.sleep(0.5)
            model.knobs.silent = False
            await appender.append((("other", b"v"),), 2.0)
            self.assertEqual(["other"], list(model.partitions["jobs", 0].newest))

        self.run_with(scenario, withdraws=True)

    def test_append_without_a_waiting_caller_is_rejected_if_it_arrives_late(self):
        # The store may carry out an unanswered append seconds later.
        async def scenario(appender, model):
            model.knobs.delay_appends = 1_000
            with testtools.ExpectedException(OutcomeUnknownError):
                await appender.append(RECORD, 0.3)
            await anyio.sleep(0.5)
            model.release()
            self.assertEqual(0, model.partitions["jobs", 0].end)

        self.run_with(scenario, withdraws=True)

    def test_append_is_not_withdrawn_while_a_caller_of_its_batch_waits(self):
        async def scenario(appender, model):
            model.knobs.silent = True
            results = {}

            async def append(key, max_wait):
                try:
                    results[key] = await appender.append(((key, b"v"),), max_wait)
                except StoreError as error:
                    results[key] = type(error)

            async with anyio.create_task_group() as task_group:
                task_group.start_soon(append, "brief", 0.1)
                task_group.start_soon(append, "patient", 5.0)
                await anyio.sleep(0.7)
                model.knobs.silent = False
            self.assertEqual({"brief": OutcomeUnknownError, "patient": 1}, results)

        self.run_with(scenario, withdraws=True)

    def test_producer_with_a_higher_epoch_fences_the_appender(self):
        async def scenario(appender, model):
            model.partitions["jobs", 0].append([], Producer("p", 2), 0)
            with testtools.ExpectedException(NotStoredError):
                await appender.append(RECORD, 1.0)
            self.assertIsNotNone(appender.fenced)

        self.run_with(scenario)

    def test_append_behind_an_unanswered_one_fails_once_the_store_is_silent(self):
        # It waited for all its time, in which its caller could have tried elsewhere.
        async def scenario(appender, model):
            model.knobs.delay_appends = 1_000
            errors = []

            async def append():
                try:
                    await appender.append(RECORD, 0.5)
                except StoreError as error:
                    errors.append(type(error))

            async with anyio.create_task_group() as task_group:
                for _ in range(2):
                    task_group.start_soon(append)
                    await anyio.sleep(0.02)
                appender.may_send = lambda: False
                await anyio.sleep(0.2)
                self.assertEqual([NotStoredError], errors)
            self.assertEqual([NotStoredError, OutcomeUnknownError], errors)

        self.run_with(scenario)


class InterruptedAppendTest(testtools.TestCase):
    """An append that is stored, and whose answer raises an error nobody expects."""

    def test_append_after_an_interrupted_one_is_not_taken_for_its_repeat(self):
        class FailingOnceClient(ModelClient):
            has_failed = False

            async def append(self, *arguments):
                offset = await super().append(*arguments)
                if not self.has_failed:
                    self.has_failed = True
                    raise RuntimeError("unexpected")
                return offset

        async def main():
            store = StoreModel(1)
            client = FailingOnceClient(store)
            appender = Appender("jobs", 0, client, Producer("p", 1))
            async with anyio.create_task_group() as task_group:
                metrics = ServedMetrics()
                task_group.start_soon(keep_running, "append", appender.run, metrics)
                with testtools.ExpectedException(OutcomeUnknownError):
                    await appender.append([("a", b"1")], 2.0)
                await appender.append([("b", b"2")], 2.0)
                task_group.cancel_scope.cancel()
            return [record.key for record in store.partitions["jobs", 0].records]

        self.assertEqual(["a", "b"], anyio.run(main))

    def test_interrupted_append_is_rejected_if_it_arrives_late(self):
        class InterruptedClient(ModelClient):
            async def append(self, topic, partition, records, producer, sequence):
                if not records:
                    return await super().append(
                        topic, partition, records, producer, sequence
                    )
                target = self.model.partitions[topic, partition]
                self.model.delayed.append((target, records, producer, sequence))
                raise RuntimeError("unexpected")

        async def main():
            store = StoreModel(1)
            client = InterruptedClient(store)
            appender = Appender("jobs", 0, client, Producer("p", 1), withdraws=True)
            async with anyio.create_task_group() as task_group:
                metrics = ServedMetrics()
                task_group.start_soon(keep_running, "append", appender.run, metrics)
                with testtools.ExpectedException(OutcomeUnknownError):
                    await appender.append([("a", b"1")], 2.0)
                with anyio.fail_after(2.0):
                    while not appender.is_epoch_registered:  # noqa: ASYNC110
                        await anyio.sleep(0.01)
                store.release()
                task_group.cancel_scope.cancel()
            return [record.key for record in store.partitions["jobs", 0].records]

        self.assertEqual([], anyio.run(main))

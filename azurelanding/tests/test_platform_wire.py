"""Tests of the encoding and decoding of the platform's messages."""

import msgspec
import testtools

from azurelanding.fleet_workers import HostPhase, WorkerPhase
from azurelanding.jobs import RunEnd, TaskId
from azurelanding.platform import callers, hosts, operator, settings, store, workers
from azurelanding.platform.main import decode_operator_record
from azurelanding.settings import SettingsError
from azurelanding.site_state import OperatorFold
from azurelanding.store import StoredRecord
from azurelanding.tests.platform_world import make_queue
from azurelanding.topic_follower import TopicFollower

ENTRY = {
    "service": "cuts",
    "address": "127.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "machine": "m-1",
    "born": 17,
    "capacity": {"cpu": 16000, "memMb": 2, "gpus": 1},
    "labels": ["a", "r1-3"],
}
SETTINGS = {
    "nodeName": "edge-a-1",
    "zone": "a",
    "ip": "127.0.0.1",
    "listen": {"frontend": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
    "platform": {"address": "127.0.0.1:3", "parts": 16, "ttlMinMs": 1000},
    "bounds": {"maxHoldMs": 6000, "graceS": 6, "remoteFactor": 1.5},
    "cloudApi": {"address": "127.0.0.1:4"},
    "new": {"field": 1},
}
ROUTE = {
    "name": "r",
    "host": "h.example",
    "pathPrefix": "/p/",
    "service": "cuts",
    "timeoutMs": 3000,
    "maxAttempts": 2,
}


def encode(values, **changes):
    """Return ``values`` with ``changes`` as JSON."""
    return msgspec.json.encode({**values, **changes})


class SettingsTest(testtools.TestCase):
    """Decoding the settings file."""

    def test_durations_are_converted_to_seconds(self):
        site = settings.decode_settings(encode(SETTINGS))
        self.assertEqual(6.0, site.timing.longest_lease)
        self.assertEqual(6.0, site.timing.grace)
        self.assertEqual(1.0, site.store.min_membership_seconds)

    def test_link_rate_is_in_bytes_per_second(self):
        site = settings.decode_settings(encode(SETTINGS, limits={"linkMbps": 10.0}))
        self.assertEqual(1_250_000, site.link_rate)
        self.assertIsNone(settings.decode_settings(encode(SETTINGS)).link_rate)

    def test_missing_or_mistyped_fields_are_refused(self):
        invalid = [
            b"",
            b"[]",
            b"{",
            encode(SETTINGS, listen=None),
            encode(SETTINGS, limits={"linkMbps": "fast"}),
            encode({"zone": "a"}),
        ]
        for text in invalid:
            with testtools.ExpectedException(SettingsError):
                settings.decode_settings(text)


class WorkersTest(testtools.TestCase):
    """Decoding the entries and reports of workers."""

    def test_entry_is_decoded(self):
        entry = workers.decode_worker_entry("i-1", encode(ENTRY))
        self.assertEqual(16.0, entry.resources.cores)
        self.assertEqual(2 << 20, entry.resources.memory)
        self.assertEqual(WorkerPhase.READY, entry.phase)
        self.assertEqual("m-1", entry.host)
        self.assertEqual(("a", "r1-3"), entry.labels)

    def test_invalid_entry_is_ignored(self):
        invalid = [
            b"\xff\x00",
            b"[]",
            b"7",
            encode(ENTRY, state="asleep"),
            encode(ENTRY, capacity=None),
            encode(ENTRY, capacity={"cpu": "many"}),
            encode({"service": "cuts"}),
            encode(ENTRY, address=17),
            encode(ENTRY, address="nowhere"),
            encode(ENTRY, service=["cuts"]),
            encode(ENTRY, zone=None),
            encode(ENTRY, machine=5),
            encode(ENTRY, born="soon"),
            encode(ENTRY, labels="r1-3"),
            encode(ENTRY, labels=[1]),
        ]
        for value in invalid:
            with testtools.ExpectedException(workers.WorkerEntryError):
                workers.decode_worker_entry("i-1", value)

    def test_report_is_decoded(self):
        values = {
            "clockMs": 5000,
            "born": 17,
            "running": [["0123456789abcdef.0.1.7", 2, "", 40, 1200]],
            "finished": [[58, "0123456789abcdef.0.1.9", 1, "done", "cp"]],
        }
        report = workers.decode_report(msgspec.json.encode(values))
        self.assertEqual(5.0, report.clock)
        (run,), (end,) = report.runs, report.ends
        self.assertEqual(TaskId("0123456789abcdef", 0, 1, 7), run.task)
        self.assertEqual((0.4, 1200), (run.work_share, run.measurement))
        self.assertEqual((58, RunEnd.DONE, "cp"), (end.number, end.end, end.checkpoint))
        self.assertTrue(report.has_all_ends)

    def test_report_with_as_many_ends_as_fit_may_not_have_all(self):
        ends = [[n, f"0123456789abcdef.0.1.{n}", 1, "done", ""] for n in range(500)]
        content = msgspec.json.encode({"clockMs": 5000, "finished": ends})
        self.assertFalse(workers.decode_report(content).has_all_ends)


class HostsTest(testtools.TestCase):
    """Decoding rows of the host list."""

    def test_row_is_decoded(self):
        row = {"machine": "m", "pool": "p", "state": "upkeep", "id": None}
        host = hosts.decode_host(msgspec.json.encode(row))
        self.assertEqual((HostPhase.MAINTENANCE, ""), (host.phase, host.worker))

    def test_invalid_row_is_ignored(self):
        sound = {"machine": "m", "pool": "p", "state": "up"}
        rows = [{"machine": "m", "pool": "p"}, None, sound]
        read, fault = hosts.decode_hosts(map(msgspec.json.encode, rows))
        self.assertEqual(["m"], list(read))
        self.assertIn("state", fault)


class OperatorTest(testtools.TestCase):
    """Decoding the operator's records."""

    def test_configuration_is_decoded(self):
        value = {
            "version": 7,
            "routes": [{**ROUTE, "advice": {"decisionMs": 50, "periodMs": 5}}],
            "services": [{"name": "cuts"}, {"name": "off", "standby": True}],
            "limits": {"maxBodyBytes": 10},
        }
        decoded = operator.decode_configuration(msgspec.json.encode(value))
        queue = decoded.find_queue("h.example", "/p/0123456789abcdef")
        self.assertEqual((3.0, 2), (queue.timeout, queue.max_attempts))
        self.assertEqual(0.05, queue.advice.decision)
        self.assertIsNone(decoded.find_queue("other.example", "/p/x"))
        self.assertTrue(decoded.pools["off"].standby)

    def test_queue_with_the_longest_prefix_is_found(self):
        routes = [ROUTE, {**ROUTE, "name": "s", "pathPrefix": "/p/q/"}]
        value = {"version": 1, "routes": routes, "services": []}
        decoded = operator.decode_configuration(msgspec.json.encode(value))
        self.assertEqual("s", decoded.find_queue("h.example", "/p/q/1").name)

    def test_invalid_records_are_ignored(self):
        fold = OperatorFold(decode_operator_record)
        follower = TopicFollower("operator", 0, list, fold, None, 0.0)
        sound = {"version": 1, "routes": [ROUTE], "services": []}
        for key, value in (
            ("config", encode(sound)),
            ("config", b"{}"),
            ("wave/1", b'{"wave": 1}'),
        ):
            follower.apply([StoredRecord(key, value, 0)])
        self.assertEqual(1, fold.configuration.version)
        self.assertEqual({}, fold.waves)


class StoreRecordsTest(testtools.TestCase):
    """Decoding the records of the store."""

    def test_read_starts_at_the_oldest_kept_record(self):
        head = store.READ_HEADER.pack(9, 7)
        body = store.encode_keyed_record("k", b"v") + store.encode_keyed_record(
            "l", None
        )
        decoded = store.decode_records(head + body, 3)
        self.assertEqual(9, decoded.end)
        triples = [(r.key, r.value, r.offset) for r in decoded.records]
        self.assertEqual([("k", b"v", 7), ("l", None, 8)], triples)


class SubmissionTest(testtools.TestCase):
    """Decoding the jobs that callers submit."""

    def test_job_is_decoded(self):
        step = {"count": 2, "cpu": 500, "memMb": 1, "estimatedMs": 900, "mayMiss": 1}
        second = {"count": 1, "after": [0], "targetMs": 80, "longRunning": True}
        body = msgspec.json.encode({"spec": "s", "steps": [step, second]})
        job = callers.decode_job("a" * 16, make_queue(), body, 5.0)
        self.assertEqual((0.5, 0.9), (job.steps[0].need.cores, job.steps[0].estimate))
        self.assertEqual(((0,), 0.08), (job.steps[1].after, job.steps[1].tail_target))
        self.assertEqual((1, 5.0), (job.occurrences, job.due_at(0)))

    def test_occurrences_are_due_at_their_interval(self):
        body = msgspec.json.encode(
            {
                "spec": "s",
                "steps": [{"count": 1}],
                "repeatCount": 3,
                "startAtMs": 9000,
                "intervalMs": 500,
            }
        )
        job = callers.decode_job("a" * 16, make_queue(), body, 5.0)
        self.assertEqual([9.0, 9.5, 10.0], [job.due_at(k) for k in range(3)])

    def test_invalid_job_is_refused(self):
        bodies = [
            b"",
            b"[]",
            b'{"spec": "s"}',
            b'{"spec": "s", "steps": [{}]}',
            b'{"spec": "s", "steps": [{"count": 1, "after": [0]}]}',
            b'{"spec": "s", "steps": [{"count": 1, "antiAffinity": "two"}]}',
            b'{"spec": 7, "steps": [{"count": 1}]}',
            b'{"spec": "s", "steps": [{"count": 1, "memMb": null}]}',
            b'{"spec": "s", "steps": [{"count": 1000000000}]}',
            b'{"spec": "s", "steps": [{"count": -1}]}',
            # Its record could not be read again, so it was accepted and lost.
            b'{"spec": "s", "steps": [], "repeatCount": 1000000}',
        ]
        for body in bodies:
            with testtools.ExpectedException(callers.JobFormatError):
                callers.decode_job("a" * 16, make_queue(), body, 5.0)

"""Test the daemon as a process that is fed odd messages while jobs run."""

import re

import anyio
import msgspec
import testtools

from azurelanding.job_records import encode_record
from azurelanding.jobs import TaskId, TaskState
from azurelanding.ledger import TaskChanged
from azurelanding.membership import partition_of
from azurelanding.standins.platform_worker import WorkerModel
from azurelanding.standins.platform_worker_app import encode_entry
from azurelanding.store import Producer
from azurelanding.tests.platform_processes import (
    IPS,
    PARTITIONS,
    make_configuration,
    run_on_platform,
)
from azurelanding.tests.platform_world import until

DEEP = b"[" * 50_000 + b"]" * 50_000
LOGGED_RECORD = re.compile(r" topic=(\S+) key=(\S+)")
JOB_ID, LATER_JOB_ID = "a" * 16, "b" * 16
ODD_VALUES = (
    *(DEEP, b'{"service":' + DEEP + b"}", b"\xff\x00", b"null", b"[]", b"7", b'"x"'),
    *(b"{}", b'{"service":"cuts"}', b'{"a":1'),
)
ODD_FIELDS = {
    "address": ("127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:-1", "a\r\nb:80", 7, None),
    "capacity": ({"cpu": -1}, {"cpu": 1 << 63}, None, {"gpus": [1]}),
    "coldRemainingMs": (1e297, -1),
    "state": ("asleep", 1),
    "labels": ("r1", [1]),
    "zone": (None,),
}


def odd_entries(address):
    """Return odd entries of workers by id."""
    sound = msgspec.json.decode(encode_entry(WorkerModel("x", "cuts"), address))
    values = list(ODD_VALUES)
    for name, odd_values in ODD_FIELDS.items():
        values += [msgspec.json.encode({**sound, name: odd}) for odd in odd_values]
    huge = b'{"cpu":' + b"9" * 400 + b"}"
    sound.pop("capacity")
    values.append(msgspec.json.encode(sound)[:-1] + b',"capacity":' + huge + b"}")
    return {f"odd-{number}": value for number, value in enumerate(values)}


def put_odd_records(platform):
    """Write odd records of each topic."""
    for key, value in odd_entries("127.0.0.1:9").items():
        platform.store.put("keyed.servers", key, value)
    for value in ODD_VALUES:
        platform.store.put("keyed.op", "config", value)
        platform.store.put("keyed.op", "wave/1", value)
    odd_wave = {"wave": 1, "machines": "ab", "durationS": -1, "maximum": "x"}
    platform.store.put("keyed.op", "wave/2", msgspec.json.encode(odd_wave))
    no_task = TaskChanged(TaskId(JOB_ID, 0, 99, 0), TaskState(1, {1: "w"}))
    partition = partition_of("cuts", PARTITIONS)
    for topic, number, keys in (
        ("keyed.jobs", partition, ("job/x", "task/x", "task/a.0.0.x", "odd", "work/x")),
        ("keyed.fleet", 0, ("host/x", "wave/1", "odd")),
    ):
        records = [(key, value) for key in keys for value in ODD_VALUES]
        if topic == "keyed.jobs":
            records.append(encode_record(no_task))
        stored = platform.store.partitions[topic, number]
        stored.append(records, Producer("another writer", stored.end + 1), 1)


class OddMessagesTest(testtools.TestCase):
    """Daemons as processes, while other writers and peers send odd messages."""

    def test_no_odd_message_ends_or_stops_a_daemon_or_its_jobs(self):
        anyio.run(run_on_platform, self._feed)

    async def _feed(self, platform):
        headers = (("X-Request-Deadline", "nan"),)
        for name in ("w-1", "w-2"):
            platform.add_worker(name, run_time=6.0)
        platform.store.put("keyed.op", "config", make_configuration(1, "q"))
        await platform.start_daemons()
        step = {"count": 4, "cpu": 1000}
        body = msgspec.json.encode({"spec": "s", "steps": [step]})
        path = f"/q/{JOB_ID}"
        answer = await platform.call(IPS[0], "POST", path, body, headers)
        self.assertEqual(200, answer[0])
        models = list(platform.fleet.models.values())
        await until(lambda: sum(len(model.running) for model in models) == 4, 15.0)
        for _ in range(8):
            # Entries are written again with each heartbeat of what wrote them.
            put_odd_records(platform)
            platform.store.put("keyed.servers", "w-1", DEEP)
            await anyio.sleep(0.3)
        platform.put_entry("w-1")
        for answer in ODD_VALUES:
            platform.store.knobs.odd_answer = answer
            platform.odd_answers["w-2"].append(answer)
            for ip in IPS:
                odd = await platform.call(ip, "POST", f"/q/{'c' * 16}", answer, headers)
                self.assertIn(odd[0], (400, 503, 504), answer[:20])
        platform.store.knobs.odd_answer = None
        await self._expect_to_follow(platform, headers)
        started = [task for model in models for task in model.started]
        self.assertEqual(4, sum(task.job == JOB_ID for task, _ in started))

    async def _expect_to_follow(self, platform, headers):
        """Expect that both daemons have finished the job and follow what is new."""
        platform.store.put("keyed.op", "config", make_configuration(2, "q", "later"))
        newest = platform.add_worker("w-3", "new", run_time=0.1)
        step = {"count": 4, "cpu": 1000, "requirements": "new"}
        body = msgspec.json.encode({"spec": "s", "steps": [step]})
        for ip in IPS:
            while True:
                path = f"/later/{LATER_JOB_ID}"
                answer = await platform.call(ip, "POST", path, body, headers)
                if answer and answer[0] == 200:
                    break
                await anyio.sleep(0.1)
            for path in (f"/q/{JOB_ID}", f"/later/{LATER_JOB_ID}"):
                await platform.until_state(ip, path, b"completed")
        self.assertEqual(4, len(newest.started))
        logged = set()
        for number, process in enumerate(platform.processes):
            self.assertIsNone(process.returncode)
            ignored = [n for n in platform.lines(number) if "invalid record" in n]
            records = {tuple(LOGGED_RECORD.search(n).groups()) for n in ignored}
            self.assertEqual(len(records), len(ignored), "a line for each repeat")
            logged |= records
            failed = [line for line in platform.lines(number) if "task failed" in line]
            self.assertEqual([], failed)
        self.assertIn(("workers", "w-1"), logged)

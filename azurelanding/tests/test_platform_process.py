"""Tests of the platform's daemon as a separate process, over real sockets."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile

import anyio
import msgspec
import testtools

import azurelanding
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.http_server import HttpServer
from azurelanding.standins.platform_settings import (
    encode_configuration,
    encode_settings,
    environment,
)
from azurelanding.standins.platform_store import StoreModel

ROOT = pathlib.Path(azurelanding.__file__).parent.parent
IP = "127.0.0.77"
CALLERS, READINESS, METRICS = f"{IP}:7171", f"{IP}:7172", f"{IP}:7075"
JOB_PATH = "/p/0123456789abcdef"
CONFIGURATION = encode_configuration(3, [("p", IP, "cuts")])


async def request(address, method, path, body=b""):
    """Return the status and body of an answer, or ``None`` when there is none."""
    client = HttpClient(address, 4.0)
    try:
        return await client.request(method, path, body)
    except HttpClientError:
        return None
    finally:
        await client.close()


async def wait_for_status(address, path, status):
    """Repeat a GET until it is answered with ``status``."""
    while True:
        answer = await request(address, "GET", path)
        if answer is not None and answer[0] == status:
            return
        await anyio.sleep(0.1)


class SettingsPipe:
    """A settings file that is a pipe at first, so that a process waits for it.

    Once written it is a plain file, which may be read again.
    """

    def __init__(self, path, content):
        self.path = anyio.Path(path)
        self.content = content

    async def open(self):
        """Wait until the process reads its settings."""
        return await self.path.open("wb")

    async def write(self, pipe):
        """Let the process go on."""
        plain = self.path.with_suffix(".plain")
        await plain.write_bytes(self.content)
        await plain.replace(self.path)
        await pipe.write(self.content)


class ProcessTest(testtools.TestCase):
    """The daemon process from its start to its stop."""

    async def _run_from_pipe(self, scenario):
        """Run a scenario with a process that waits for its ``SettingsPipe``."""

        async def make_pipe(path, content):
            await path.unlink()
            os.mkfifo(path)
            return SettingsPipe(path, content)

        await self._run(scenario, make_pipe)

    async def _run(self, scenario, make_pipe=None):
        model = StoreModel()
        server = HttpServer.from_config("127.0.0.1:0", model.app, http="httptools")
        async with anyio.create_task_group() as task_group:
            server.start(task_group)
            with tempfile.TemporaryDirectory() as directory:
                path = anyio.Path(directory, "settings.json")
                settings = encode_settings("edge-a-1", IP, server.address, 4)
                await path.write_bytes(settings)
                extra = [await make_pipe(path, settings)] if make_pipe else []
                variables = environment(path)
                command = [sys.executable, str(ROOT / "entry.py")]
                process = await anyio.open_process(
                    command,
                    env=variables,
                    stdout=subprocess.DEVNULL,
                    stderr=subprocess.DEVNULL,
                )
                try:
                    with anyio.fail_after(30):
                        await scenario(model, process, *extra)
                finally:
                    if process.returncode is None:
                        process.kill()
                    with anyio.CancelScope(shield=True):
                        await process.wait()
            await server.close()

    def test_process_accepts_a_job_and_stops_on_sigterm(self):
        async def scenario(model, process):
            await wait_for_status(READINESS, "/v1/ready", 503)
            self.assertEqual(503, (await request(CALLERS, "POST", JOB_PATH, b"{}"))[0])
            model.put("keyed.op", "config", CONFIGURATION)
            await wait_for_status(READINESS, "/v1/ready", 200)
            body = msgspec.json.encode({"spec": "s", "steps": [{"count": 1}]})
            self.assertEqual(200, (await request(CALLERS, "POST", JOB_PATH, body))[0])
            stored = [r for p in model.partitions.values() for r in p.newest]
            self.assertIn("job/0123456789abcdef", stored)
            status, state = await request(CALLERS, "GET", JOB_PATH)
            self.assertEqual((200, b'{"state":"queued"}'), (status, state))
            self.assertEqual(
                410, (await request(CALLERS, "GET", JOB_PATH[:-1] + "0"))[0]
            )
            _, metrics = await request(METRICS, "GET", "/metrics")
            self.assertIn(b"azurelanding_submissions_accepted_total 1.0", metrics)
            process.send_signal(signal.SIGTERM)
            await wait_for_status(READINESS, "/v1/ready", 503)
            self.assertEqual(200, (await request(CALLERS, "GET", JOB_PATH))[0])
            self.assertEqual(0, await process.wait())

        anyio.run(self._run, scenario)

    def test_sighup_in_a_row_does_not_end_a_process_that_is_starting(self):
        # It ended each process that had not bound its servers yet.
        async def scenario(model, process, settings):
            model.put("keyed.op", "config", CONFIGURATION)
            async with await settings.open() as pipe:
                for _ in range(10):
                    process.send_signal(signal.SIGHUP)
                    await anyio.sleep(0.02)
                await settings.write(pipe)
            while process.returncode is None:
                process.send_signal(signal.SIGHUP)
                answer = await request(READINESS, "GET", "/v1/ready")
                if answer is not None and answer[0] == 200:
                    break
            self.assertIsNone(process.returncode)
            process.send_signal(signal.SIGTERM)
            while process.returncode is None:
                process.send_signal(signal.SIGHUP)
                await anyio.sleep(0.02)
            self.assertEqual(0, process.returncode)

        anyio.run(self._run_from_pipe, scenario)

    def test_sigterm_ends_a_process_that_is_starting_in_order(self):
        async def scenario(model, process, settings):
            async with await settings.open() as pipe:
                process.send_signal(signal.SIGHUP)
                process.send_signal(signal.SIGTERM)
                await settings.write(pipe)
            self.assertEqual(0, await process.wait())

        anyio.run(self._run_from_pipe, scenario)

    def test_invalid_settings_end_the_process_with_one_log_line(self):
        async def main():
            with tempfile.NamedTemporaryFile() as settings:
                settings.write(b"{")
                settings.flush()
                variables = environment(settings.name)
                command = [sys.executable, str(ROOT / "entry.py")]
                return await anyio.run_process(command, env=variables, check=False)

        result = anyio.run(main)
        self.assertEqual(2, result.returncode)
        self.assertIn(b"settings refused", result.stdout)
        self.assertEqual(1, len(result.stdout.splitlines()))

"""Test the daemon of the platform as a process of its own, over real sockets."""

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
from azurelanding.standins.platform_store import StoreModel

ROOT = pathlib.Path(azurelanding.__file__).parent.parent
IP = "127.0.0.77"
CALLERS, READINESS, METRICS = f"{IP}:7171", f"{IP}:7172", f"{IP}:7075"
JOB_PATH = "/p/0123456789abcdef"
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": IP,
            "pathPrefix": "/p/",
            "service": "cuts",
            "timeoutMs": 3000,
        }
    ],
    "services": [{"name": "cuts"}],
}


def encode_settings(store_address):
    """Return the settings of the process as JSON."""
    return msgspec.json.encode(
        {
            "nodeName": "edge-a-1",
            "zone": "a",
            "ip": IP,
            "listen": {"frontend": CALLERS, "readiness": READINESS},
            "platform": {"address": store_address, "parts": 4},
        }
    )


async def ask(address, method, path, body=b""):
    """Return the status and the body of an answer, or ``None`` without one."""
    client = HttpClient(address, 4.0)
    try:
        return await client.request(method, path, body)
    except HttpClientError:
        return None
    finally:
        await client.close()


async def until_status(address, path, status):
    """Wait until a GET is answered with ``status``."""
    while True:
        answer = await ask(address, "GET", path)
        if answer is not None and answer[0] == status:
            return
        await anyio.sleep(0.1)


class ProcessTest(testtools.TestCase):
    """One daemon from its start to its stop."""

    async def _run(self, scenario):
        model = StoreModel()
        server = HttpServer.from_config("127.0.0.1:0", model.app, http="httptools")
        async with anyio.create_task_group() as task_group:
            server.start(task_group)
            with tempfile.TemporaryDirectory() as folder:
                path = anyio.Path(folder, "settings.json")
                await path.write_bytes(encode_settings(server.address))
                environment = {**os.environ, "AZURELANDING_BOOT": str(path)}
                command = [sys.executable, str(ROOT / "entry.py")]
                process = await anyio.open_process(
                    command,
                    env=environment,
                    stdout=subprocess.DEVNULL,
                    stderr=subprocess.DEVNULL,
                )
                try:
                    with anyio.fail_after(30):
                        await scenario(model, process)
                finally:
                    if process.returncode is None:
                        process.kill()
                    with anyio.CancelScope(shield=True):
                        await process.wait()
            await server.close()

    def test_process_takes_a_job_and_stops_as_told(self):
        async def scenario(model, process):
            await until_status(READINESS, "/v1/ready", 503)
            self.assertEqual(503, (await ask(CALLERS, "POST", JOB_PATH, b"{}"))[0])
            model.put("keyed.op", "config", msgspec.json.encode(CONFIGURATION))
            await until_status(READINESS, "/v1/ready", 200)
            body = msgspec.json.encode({"spec": "s", "steps": [{"count": 1}]})
            self.assertEqual(200, (await ask(CALLERS, "POST", JOB_PATH, body))[0])
            stored = [r for p in model.partitions.values() for r in p.newest]
            self.assertIn("job/0123456789abcdef", stored)
            status, state = await ask(CALLERS, "GET", JOB_PATH)
            self.assertEqual((200, b'{"state":"queued"}'), (status, state))
            self.assertEqual(410, (await ask(CALLERS, "GET", JOB_PATH[:-1] + "0"))[0])
            _, figures = await ask(METRICS, "GET", "/metrics")
            self.assertIn(b"azurelanding_submissions_accepted_total 1.0", figures)
            process.send_signal(signal.SIGTERM)
            await until_status(READINESS, "/v1/ready", 503)
            self.assertEqual(200, (await ask(CALLERS, "GET", JOB_PATH))[0])
            self.assertEqual(0, await process.wait())

        anyio.run(self._run, scenario)

    def test_unreadable_settings_end_the_process_with_one_line(self):
        async def main():
            with tempfile.NamedTemporaryFile() as settings:
                settings.write(b"{")
                settings.flush()
                environment = {**os.environ, "AZURELANDING_BOOT": settings.name}
                command = [sys.executable, str(ROOT / "entry.py")]
                return await anyio.run_process(command, env=environment, check=False)

        done = anyio.run(main)
        self.assertEqual(2, done.returncode)
        self.assertIn(b"settings refused", done.stdout)
        self.assertEqual(1, len(done.stdout.splitlines()))

"""Test the report on a site from its store, and the commands that print it."""

import pathlib
import tempfile
import time

import anyio
import testtools

from azurelanding import site_report
from azurelanding.http_server import HttpServer
from azurelanding.jobs import JobPhase
from azurelanding.operators.command_line import ExitCode
from azurelanding.standins.platform_settings import encode_settings
from azurelanding.standins.platform_store import StoreModel
from azurelanding.tests.platform_world import (
    World,
    make_job,
    make_queue,
    make_step,
    until,
)
from azurelanding.tests.test_commands import run_command
from azurelanding.tests.test_platform_process import CONFIGURATION, IP

QUEUE = make_queue()


def make_settings(store_address):
    """Return the settings of a daemon of the store at an address."""
    return encode_settings("edge-a-1", IP, store_address, 4)


class SiteReportTest(testtools.TestCase):
    """The report on a site with running daemons."""

    def report(self, job, is_placed, seconds=0.0):
        """Return the reports on the pool, ``job`` and an unknown job, with one worker.

        ``is_placed`` says whether ``job`` fits on the worker.
        """
        reports = []

        async def scenario(world):
            (daemon,) = world.daemons
            world.fleet.long_running.add(job.id)
            await daemon.service.submit(job, 5.0)
            placed = daemon.stream_of("cuts").ledger.placed
            await until(lambda: bool(placed) == is_placed)
            await until(lambda: daemon.controllers)
            await anyio.sleep(0.3)
            state = await site_report.read_site(
                world.site, world._make_service_clients()
            )
            reports.extend(site_report.report_pools(state))
            reports.append(site_report.report_job(state, job.id, time.time()))
            reports.append(site_report.report_job(state, "f" * 16, time.time()))

        world = World()
        world.add_worker("w0")
        world.configure(QUEUE)
        anyio.run(world.run, scenario, 1)
        return reports

    def test_running_job_lists_its_workers(self):
        job = make_job(steps=(make_step(2, long_running=True),))
        pool, job_report, unknown = self.report(job, True)
        self.assertEqual(("cuts", "d0-1"), (pool.name, pool.controller))
        counts = (pool.workers, pool.runs, pool.jobs, pool.waiting)
        self.assertEqual((1, 2, 1, 0), counts)
        self.assertEqual(JobPhase.RUNNING.value, job_report.phase)
        self.assertEqual(["w0", "w0"], list(job_report.running.values()))
        self.assertEqual("", job_report.waits_for)
        self.assertIsNone(unknown)

    def test_job_without_free_capacity_reports_that(self):
        job = make_job(steps=(make_step(3, label="gpu"),))
        pool, job_report, _ = self.report(job, False)
        self.assertEqual((1, 1), (pool.jobs, pool.waiting))
        self.assertEqual("room for 3 tasks", job_report.waits_for)

    def test_job_before_its_due_time_reports_the_wait(self):
        first = time.time() + 60.0
        job = make_job(occurrences=2, first_due=first, interval=5.0)
        _, job_report, _ = self.report(job, False)
        self.assertIn("its time, in 5", job_report.waits_for)


class SiteCommandsTest(testtools.TestCase):
    """The commands that an operator runs."""

    def run_on(self, content, command, *arguments):
        """Run ``command`` with a settings file that has ``content``."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "settings.json")
            path.write_bytes(content)
            return anyio.run(run_command, command, str(path), *arguments)

    def test_valid_settings_pass_the_check(self):
        code, output, _ = self.run_on(make_settings("127.0.0.1:1"), "site-check")
        self.assertEqual(ExitCode.OK, code)
        self.assertIn("no fault (edge-a-1, store at 127.0.0.1:1)", output)

    def test_invalid_settings_are_reported_in_one_line(self):
        for content in (b"{", b"\xff\xfe", b"[]", b"{}"):
            code, _, errors = self.run_on(content, "site-check")
            self.assertEqual(ExitCode.BAD_SETTINGS, code)
            self.assertEqual(1, len(errors.splitlines()), errors)

    def test_missing_settings_file_is_named(self):
        code, _, errors = anyio.run(run_command, "site-check", "no-such.json")
        self.assertEqual(ExitCode.BAD_SETTINGS, code)
        self.assertEqual("no-such.json: No such file or directory", errors.strip())

    def test_unreachable_store_has_a_separate_exit_code(self):
        code, _, errors = self.run_on(make_settings("127.0.0.1:1"), "site-status")
        self.assertEqual(ExitCode.UNREACHABLE, code)
        self.assertIn("the store at 127.0.0.1:1 can't be read", errors)

    def test_status_is_read_from_the_store(self):
        async def main():
            model = StoreModel()
            model.put("keyed.op", "config", CONFIGURATION)
            model.join("control", "edge-a-1-1", ("keyed.jobs",), 60.0)
            server = HttpServer.from_config("127.0.0.1:0", model.app, http="httptools")
            async with anyio.create_task_group() as task_group:
                server.start(task_group)
                with tempfile.TemporaryDirectory() as folder:
                    path = anyio.Path(folder, "settings.json")
                    await path.write_bytes(make_settings(server.address))
                    status = await run_command("site-status", str(path))
                    missing = await run_command(
                        "site-status", str(path), "--job", "f" * 16
                    )
                await server.close()
            return status, missing

        (code, output, errors), missing = anyio.run(main)
        self.assertEqual((ExitCode.OK, ""), (code, errors))
        self.assertEqual(3, len(output.splitlines()), output)
        self.assertIn("configuration version 3", output)
        self.assertIn("pool cuts: controlled by edge-a-1-1, 0 workers", output)
        self.assertIn("moves and maintenance: ordered by nobody", output)
        self.assertEqual(ExitCode.UNDECIDED, missing[0])
        self.assertIn("the store has no job ffffffffffffffff", missing[2])

"""Tests of tasks from the operator's command line to workers, in real processes."""

import sys

import anyio
import msgspec
import testtools

from azurelanding import records
from azurelanding.operators import command_line, task_commands, task_wire
from azurelanding.operators.client import OperatorsClient
from azurelanding.standins.site import LocalSite, SiteConfig

RULES = """
pool cuts hosts=cut-* spare=yes  # Ana
team guild tasks=100  # Ana
job plan pool=cuts cores=2 memory=4GB repeat=no  # Ana
job huge pool=cuts cores=900 memory=4GB  # Ana
"""
TEST_SECONDS = 60.0


async def run_command(address, *arguments):
    """Run a command of the command line and return its output."""
    command = [sys.executable, "-m", "azurelanding", *arguments, "--daemon", address]
    return (await anyio.run_process(command)).stdout.decode()


async def wait_for_report(client, condition):
    """Return the ``TasksReport`` of the pool once it meets ``condition``."""
    path = f"{task_wire.TASKS_PATH}?pool=cuts"
    while True:
        report = await client.ask(path, task_wire.TasksReport)
        if condition(report):
            return report
        await anyio.sleep(0.1)


class TaskSiteTest(testtools.TestCase):
    """A site with one control daemon and two workers."""

    async def serve(self, site):
        await site.start()
        address = site.operators_address
        client = OperatorsClient.from_config(address)
        body = records.RulesPublished(RULES, 0)
        self.assertTrue((await client.change(body, "Ana")).accepted)
        await wait_for_report(client, lambda report: len(report.workers) == 2)
        submit = ("submit", "--team", "guild", "--json")
        printed = await run_command(address, *submit, "--count", "6", "plan")
        names = msgspec.json.decode(printed, type=task_wire.TaskChangeResult).tasks
        await run_command(address, *submit, "huge")
        report = await wait_for_report(
            client, lambda report: [x.phase for x in report.lines] == ["parked"]
        )
        self.assertIn("900 cores but the largest has 32", report.lines[0].reason)
        shown = await run_command(address, "tasks", "--task", names[0])
        self.assertIn("done", shown)
        await run_command(address, "cancel", "--job", "huge")
        await wait_for_report(client, lambda report: not report.lines)
        ledgers = [await site.ask(w.address, "GET", "/ledger") for w in site.workers]
        started = [line["task"] for ledger in ledgers for line in ledger["lines"]]
        self.assertEqual(sorted(names), sorted(started))
        await client.close()

    async def run_site(self):
        config = SiteConfig(entries=0, executors={}, workers={"cut": 2})
        site = LocalSite.from_config(config)
        try:
            with anyio.fail_after(TEST_SECONDS):
                await self.serve(site)
        finally:
            await site.close()

    def test_runs_tasks_and_reports_why_one_is_parked(self):
        anyio.run(self.run_site)


class CommandTest(testtools.TestCase):
    """Commands that are refused without a request to a daemon."""

    def test_refuses_a_cancellation_that_selects_no_tasks(self):
        error = self.assertRaises(command_line.CommandError, task_commands.cancel)
        self.assertEqual(command_line.ExitCode.BAD_USAGE, error.code)

    def test_refuses_an_unreadable_deadline(self):
        error = self.assertRaises(
            command_line.CommandError,
            task_commands.submit,
            "plan",
            team="guild",
            deadline="soon",
        )
        self.assertEqual(command_line.ExitCode.BAD_USAGE, error.code)

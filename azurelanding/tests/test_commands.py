"""Tests of the operators' commands, each run in a process of its own."""

import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile

import anyio
import msgspec
import testtools

from azurelanding.operators.command_line import ExitCode
from azurelanding.standins.site import LocalSite, SiteConfig

RULES = """
pool previews hosts=preview-* spare=yes  # Marisol
pool cuts  # Tomas
service preview pool=previews  # Marisol
job cut pool=cuts  # Tomas
team guild  # Tomas
"""


async def run_command(*arguments):
    """Run one command; return its exit code, standard output and standard error."""
    done = await anyio.run_process(
        [sys.executable, "-m", "azurelanding", *arguments],
        check=False,
        stdin=subprocess.DEVNULL,
    )
    return done.returncode, done.stdout.decode(), done.stderr.decode()


class OfflineCommandsTest(testtools.TestCase):
    """Commands that need no daemon."""

    def run_on(self, text, command, *arguments, option=None):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "a.rules")
            path.write_text(text)
            words = (option, str(path)) if option else (str(path),)
            return anyio.run(run_command, command, *words, *arguments)

    def test_check_reports_each_fault_with_line_and_column(self):
        code, _, errors = self.run_on("pol a  # A\npool b\n", "check")
        self.assertEqual(ExitCode.BAD_RULES, code)
        self.assertIn("a.rules: line 1, column 1: expected one of pool", errors)
        self.assertIn("a.rules: line 2, column 7: expected a comment", errors)

    def test_check_prints_counts_of_rules_as_json(self):
        code, output, _ = self.run_on(RULES, "check", "--json")
        self.assertEqual(ExitCode.OK, code)
        self.assertEqual(2, msgspec.json.decode(output)["pool"])

    def test_an_unreachable_daemon_has_its_own_exit_code(self):
        code, _, errors = self.run_on(RULES, "diff", "--daemon", "127.0.0.1:1")
        self.assertEqual(ExitCode.UNREACHABLE, code)
        self.assertIn("can't connect to 127.0.0.1:1", errors)

    def test_a_daemon_names_the_port_that_is_in_use(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            text = (
                "name: entry-1\navailability_zone: a\n"
                f"callers: {{address: '127.0.0.1:{port}'}}\n"
                "operators: {address: '127.0.0.1:0'}\n"
            )
            code, _, errors = self.run_on(text, "entry", option="--settings")
        self.assertEqual(ExitCode.BAD_SETTINGS, code)
        self.assertIn("can't listen", errors)
        self.assertIn(str(port), errors)
        self.assertNotIn("Traceback", errors)

    def test_an_invalid_daemon_address_is_bad_usage(self):
        for address in ("foo", "127.0.0.1:99999"):
            code, _, errors = anyio.run(run_command, "status", "--daemon", address)
            self.assertEqual(ExitCode.BAD_USAGE, code)
            self.assertEqual(
                f"daemon: expected IP:PORT such as 127.0.0.1:8090, got {address}\n",
                errors,
            )

    def test_a_closed_output_pipe_causes_no_traceback(self):
        reading, writing = os.pipe()
        os.close(reading)
        with open(writing, "wb") as output:
            done = subprocess.run(
                [sys.executable, "-m", "azurelanding", "check", "examples/telar.rules"],
                check=False,
                stdout=output,
                stderr=subprocess.PIPE,
            )
        self.assertEqual((ExitCode.NO_OUTPUT, b""), (done.returncode, done.stderr))

    def test_each_address_in_use_is_reported_without_a_traceback(self):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            for setting in ("callers", "operators", "entries"):
                settings = {
                    part: {"address": "127.0.0.1:0"}
                    for part in ("callers", "operators", "entries")
                }
                settings[setting] = {"address": address}
                settings |= {"name": "e", "availability_zone": "z"}
                code, _, errors = self.run_on(
                    json.dumps(settings), "entry", option="--settings"
                )
                self.assertEqual(ExitCode.BAD_SETTINGS, code, setting)
                self.assertIn("e can't listen: ", errors)
                self.assertIn("in use", errors)
                self.assertNotIn("Traceback", errors)

    def test_a_missing_settings_file_is_bad_settings(self):
        code, _, errors = anyio.run(
            run_command, "entry", "--settings", "no/such/file.yaml"
        )
        self.assertEqual(ExitCode.BAD_SETTINGS, code)
        self.assertIn("no/such/file.yaml", errors)


class LostAnswerTest(testtools.TestCase):
    """Commands against a daemon that reads a request and closes without an answer."""

    async def run_against(self, *arguments):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)

        async def drop_request(stream):
            async with stream:
                await stream.receive()

        async with listener, anyio.create_task_group() as task_group:
            task_group.start_soon(listener.serve, drop_request)
            outcome = await run_command(*arguments, "--daemon", f"127.0.0.1:{port}")
            task_group.cancel_scope.cancel()
        return outcome

    def test_a_change_whose_answer_is_lost_is_undecided(self):
        submission = ("submit", "cut", "--team", "guild", "--key", "k1")
        code, _, errors = anyio.run(self.run_against, *submission)
        self.assertEqual(ExitCode.UNDECIDED, code)
        self.assertIn("the change may have been made: repeat it with --key k1", errors)
        code, _, errors = anyio.run(self.run_against, "waves", "start", "cuts")
        self.assertEqual(ExitCode.UNREACHABLE, code)

    def test_a_query_whose_answer_is_lost_is_unreachable(self):
        code, _, _ = anyio.run(self.run_against, "status")
        self.assertEqual(ExitCode.UNREACHABLE, code)


class CommandsTest(testtools.TestCase):
    """An operator's session with a site of one entry and one control daemon."""

    async def with_site(self, session):
        site = LocalSite.from_config(SiteConfig(entries=1, executors={"preview": 2}))
        with tempfile.TemporaryDirectory() as folder:
            path = anyio.Path(folder, "site.rules")
            await path.write_text(RULES)
            try:
                await site.start()
                await session(site, path)
            finally:
                await site.close()

    async def session(self, site, path):
        daemon_option = ("--daemon", site.operators_address)
        code, output, errors = await run_command(
            "publish", str(path), "--by", "Marisol", *daemon_option
        )
        self.assertEqual((0, ""), (code, errors))
        self.assertEqual("version 1 is in force everywhere\n", output)

        await path.write_text(RULES + "pool extra  # Ines\n")
        code, output, _ = await run_command("diff", str(path), *daemon_option)
        self.assertEqual(ExitCode.DIFFERENT, code)
        self.assertIn("+pool extra", output)

        stale = ("--base", "0", "--by", "Ines")
        code, _, errors = await run_command(
            "publish", str(path), *stale, *daemon_option
        )
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertIn("asked for by Marisol", errors)
        self.assertIn("-pool extra", errors)

        same = ("--base", "0", "--by", "Ines")
        await path.write_text(RULES)
        code, _, errors = await run_command("publish", str(path), *same, *daemon_option)
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertIn("your file is the one in force, asked for by Marisol", errors)

        for daemon in site.daemons.values():
            await site.wait_for_status(
                daemon, lambda report: report.hosts.get("previews") == {"serving": 2}
            )
        moved = await run_command(
            "move", "preview-1", "cuts", "--by", "Tomas", *daemon_option
        )
        self.assertEqual((0, "host preview-1 belongs to pool cuts\n", ""), moved)
        code, _, errors = await run_command(
            "move", "preview-1", "cutts", *daemon_option
        )
        self.assertEqual(ExitCode.REFUSED, code)
        self.assertIn("there is no pool cutts", errors)
        code, _, _ = await run_command(
            "drain", "preview-2", "--reason", "fan", *daemon_option
        )
        self.assertEqual(0, code)
        code, output, _ = await run_command("hosts", "--json", *daemon_option)
        hosts = {host["name"]: host for host in msgspec.json.decode(output)}
        self.assertEqual("cuts", hosts["preview-1"]["pool"])
        self.assertEqual(
            ("draining", "fan"),
            (hosts["preview-2"]["phase"], hosts["preview-2"]["reason"]),
        )

        for command in (("tasks", "nope"), ("move", "nope", "cuts")):
            code, output, errors = await run_command(*command, *daemon_option)
            self.assertEqual((ExitCode.REFUSED, ""), (code, output))
            self.assertRegex(errors, r"^there is no (pool|host) nope\n$")
        code, _, errors = await run_command("tasks", "--task", "nope", *daemon_option)
        self.assertEqual((4, "there is no task nope\n"), (code, errors))
        code, _, errors = await run_command("waves", "halt", *daemon_option)
        self.assertEqual((2, "name the pool whose wave to halt\n"), (code, errors))
        code, _, errors = await run_command("audit", "--record", "nope", *daemon_option)
        self.assertEqual(ExitCode.UNDECIDED, code)
        self.assertIn("the log has no record nope", errors)

        code, output, _ = await run_command("status", *daemon_option)
        self.assertIn("rules version 1 in force, by Marisol", output)
        self.assertIn("SHORT: no executor may get work of preview", output)
        self.assertIn("log service up, host list up", output)
        self.assertIn("by Marisol at ", output)
        self.assertIn("pool previews: 1 draining", output)
        code, output, _ = await run_command("audit", *daemon_option)
        change = "[pool previews, serving -> pool cuts, serving]"
        self.assertIn(f"host preview-1 to pool cuts {change} (asked by Tomas", output)
        self.assertIn("REFUSED rules file", output)
        self.assertNotIn("leases renewed", output)

        await site.set_log_knobs(down=True)
        submission = ("submit", "cut", "--team", "guild", "--key", "k1")
        code, _, errors = await run_command(*submission, *daemon_option)
        self.assertEqual(ExitCode.UNDECIDED, code, errors)
        self.assertIn("repeat it with --key k1", errors)

    def test_an_operator_session(self):
        anyio.run(self.with_site, self.session)

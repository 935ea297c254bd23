"""Tests of what operators are told of waves, and of what they change."""

import contextlib
import io
import types

import anyio
import testtools

from azurelanding import records
from azurelanding.operators import wave_commands, wave_reports, wave_texts, wire
from azurelanding.operators.command_line import CommandError
from azurelanding.settings import EntriesSettings
from azurelanding.standins.pool_model import PoolModel, make_hosts

RULES = """
pool previews hosts=preview-* availability=65% # Marisol
pool spares spare=yes # Ines
maintenance previews canary=1 domain=rack at-once=2 # Rosa
"""


def make_daemon(model):
    """Return what a report needs of an entry daemon that follows ``model``."""
    members = types.SimpleNamespace(peer_statuses={}, live=lambda _role: {})
    return types.SimpleNamespace(
        role="entry",
        state=model.state,
        host_list=types.SimpleNamespace(hosts=model.hosts),
        members=members,
        settings=types.SimpleNamespace(entries=EntriesSettings()),
    )


class WaveReportTest(testtools.TestCase):
    """Reports of a pool before, in and after a wave."""

    def setUp(self):
        super().setUp()
        hosts = make_hosts("preview", 6, 6, ("zone-a", "zone-b", "zone-c"))
        self.model = PoolModel(RULES, "previews", hosts)

    def report(self):
        async def tell():
            return wire.encode(wave_reports.report_waves(make_daemon(self.model)))

        content = anyio.run(tell)
        reports = wire.decode(content, list[wire.WaveReport])
        return next(report for report in reports if report.pool == "previews")

    def show(self, print_report):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            print_report(self.report())
        return output.getvalue()

    def change(self, name):
        return self.model.append(wave_commands.BODY_MAKERS[name](self.report()))

    def test_a_plan_tells_each_step_before_it_is_taken(self):
        text = self.show(wave_commands._print_plan)
        self.assertIn("asks for 8 of 12 hosts, 12 are able", text)
        self.assertIn("step 1, canary: preview-01 (1 at once)", text)
        self.assertIn("preview-02, preview-03, preview-04 (2 at once)", text)

    def test_start_halt_resume_and_undo_are_accepted_in_turn(self):
        for name in ("start", "halt", "resume", "undo"):
            self.assertTrue(self.change(name).accepted, name)
        self.assertIsNone(self.model.wave)

    def test_a_halted_wave_says_why_and_who_asked(self):
        self.change("start")
        wave = self.report().wave
        self.model.append(records.WaveHalted("previews", "fan noise", wave))
        text = self.show(wave_texts.print_wave)
        self.assertIn("halted (fan noise), asked by model", text)
        self.assertIn("next: the wave is halted: fan noise", text)

    def test_nothing_to_halt_is_refused_with_a_reason(self):
        self.assertRaises(CommandError, self.change, "halt")

    def test_each_host_says_what_it_waits_for(self):
        self.change("start")
        hosts = self.report().hosts
        self.assertEqual("is drained next", hosts["preview-01"])
        self.assertIn("pending in the wave", hosts["preview-12"])

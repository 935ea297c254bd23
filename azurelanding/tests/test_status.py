"""Tests of the pool reports and of the text that the status command prints."""

import contextlib
import io
import types

import testtools

from azurelanding.operators import pool_reports, wire
from azurelanding.operators.status_texts import print_status
from azurelanding.placement import Blocked
from azurelanding.settings import TargetsSettings
from azurelanding.standins.pool_model import PoolModel, make_hosts

RULES = """
pool previews hosts=preview-* availability=90% # Marisol
pool cuts # Tomas
pool spares spare=yes # Ines
service preview pool=previews # Marisol
service cut-list pool=cuts # Tomas
"""
NOW = 1000.0


def make_daemon(model, wants=0.0, peer_wants=0.0):
    """Return a fake entry daemon with the state of ``model`` and what reports use."""
    peer = types.SimpleNamespace(wants={"previews": peer_wants})
    waiting_ids = {"cuts.k-0": None, "cuts.k-1": None}
    placer = types.SimpleNamespace(
        tasks=types.SimpleNamespace(waiting={("cut-plan", "guild"): waiting_ids}),
        blocked={("cut-plan", "guild"): Blocked("every worker is full")},
    )
    return types.SimpleNamespace(
        state=model.state,
        host_list=types.SimpleNamespace(hosts=model.hosts),
        members=types.SimpleNamespace(live=lambda _role: {"entry-2": peer}),
        settings=types.SimpleNamespace(name="entry-1", targets=TargetsSettings()),
        wants=lambda: {"previews": wants},
        placers=lambda: {"cuts": placer},
    )


def show(report):
    """Return the text that is printed for ``report``."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        print_status(report, NOW)
    return output.getvalue()


class PoolReportsTest(testtools.TestCase):
    """Slots, demand, shortage and waiting tasks in the report of a pool."""

    def setUp(self):
        super().setUp()
        hosts = make_hosts("preview", 2, 0, ("zone-a", "zone-b"))
        self.model = PoolModel(RULES, "previews", hosts)

    def report(self, serving=2, stopped=0, **wants):
        phases = {"previews": {"serving": serving, "draining": stopped}}
        return pool_reports.report_pools(make_daemon(self.model, **wants), phases)

    def test_the_slots_wanted_by_all_entries_are_added(self):
        pool = self.report(wants=9.0, peer_wants=7.0)["previews"]
        self.assertEqual((16, 16.0, ""), (pool.slots, pool.wanted, pool.short))

    def test_a_pool_is_short_when_more_slots_are_wanted_than_it_has(self):
        pool = self.report(wants=9.0, peer_wants=8.0)["previews"]
        self.assertEqual("its work could fill 17 slots, it has 16", pool.short)

    def test_a_pool_is_short_when_too_few_hosts_serve(self):
        pool = self.report(serving=1, stopped=1)["previews"]
        self.assertEqual("1 of 2 hosts serve, its availability asks for 2", pool.short)

    def test_the_shortage_of_a_pool_without_executors_names_its_services(self):
        reports = self.report()
        self.assertEqual("no executor may get work of cut-list", reports["cuts"].short)
        self.assertEqual("", reports["spares"].short)

    def test_waiting_tasks_are_reported_with_the_reason(self):
        expected = wire.WaitingTasks("cut-plan", "guild", 2, "every worker is full")
        self.assertEqual((expected,), self.report()["cuts"].tasks)


class StatusTextTest(testtools.TestCase):
    """The text that the status command prints."""

    def make_report(self, **changes):
        parts = {
            "name": "entry-1",
            "role": "entry",
            "next_offset": 9,
            "rules_version": 7,
            "rules_by": "Marisol",
            "rules_at": NOW - 250.0,
            "log_service_up": True,
            "host_list_up": True,
        }
        return wire.StatusReport(**(parts | changes))

    def test_shows_the_age_of_the_rules_and_members_with_another_version(self):
        members = (
            wire.Member("control-1", "control", "a", 9, 7),
            wire.Member("entry-2", "entry", "b", 5, 3, stopping=True),
        )
        lines = show(self.make_report(members=members)).splitlines()
        self.assertEqual(
            "rules version 7 in force, by Marisol at 1970-01-01 00:12:30Z, 4m ago",
            lines[0],
        )
        self.assertIn("  control-1 (control, a)", lines)
        self.assertIn("  entry-2 (entry, b), stopping: has rules version 3", lines)

    def test_shows_an_outage_of_the_log_service_and_its_effects(self):
        report = self.make_report(log_service_up=False, log_service_fault="refused")
        text = show(report)
        self.assertIn("log service DOWN, host list up\n  log service: refused\n", text)
        self.assertIn("no change can be made; requests and running tasks go on", text)

    def test_shows_why_requests_wait(self):
        pools = {
            "cuts": wire.PoolReport(0, 3.0, "no executor may get work of cut-list"),
            "previews": wire.PoolReport(16, 20.0, controller="control-1.a"),
        }
        report = self.make_report(pools=pools, waiting={"cuts": 3, "previews": 4})
        text = show(report)
        self.assertIn("pool cuts: no hosts; 3 of 0 slots wanted", text)
        self.assertIn("3 requests wait at entry-1 while no executor may get work", text)
        self.assertIn("4 requests wait at entry-1 for a free slot", text)
        self.assertIn("controlled by control-1.a", text)

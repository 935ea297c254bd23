"""Fuzz input from outside: only expected errors are raised, no input is half-applied.

Hypothesis draws the input with fixed seeds, so each run gets the same examples.
"""

import anyio
import capnp
import hypothesis
import msgspec
import testtools
from hypothesis import strategies

from azurelanding import addresses, fleet, records, rules_parser, settings
from azurelanding.entries import wire as entries_wire
from azurelanding.entries.server import PeerServer
from azurelanding.host_list import wire as host_list_wire
from azurelanding.log_service import wire as log_wire
from azurelanding.operators import wire as operators_wire
from azurelanding.standins.site import free_ports
from azurelanding.tests import test_callers

fixed = hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
few = hypothesis.settings(derandomize=True, deadline=None, max_examples=12)

WORDS = (
    *("pool", "service", "team", "job", "maintenance", "previews", "cuts", "a.b"),
    *("#", ":", "hosts=*", "availability=95%", "availability=101%", "buffer=-1"),
    *("pool=previews", "deadline=2s", "urgency=urgent", "spare=yes", "floor=60%"),
    *("floor=nan", "borrows=a,,b", "max-body=1TB", "keyed=maybe", "# Ana"),
)
rule_lines = strategies.lists(strategies.sampled_from(WORDS), max_size=7)
rules_texts = strategies.lists(rule_lines, max_size=6).map(
    lambda lines: "\n".join(" ".join(line) for line in lines)
)
json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)
bodies = strategies.one_of(
    strategies.builds(records.RulesPublished, rules_texts, strategies.integers(0, 5)),
    strategies.builds(
        records.HostAssigned,
        strategies.sampled_from(("h1", "h2")),
        strategies.sampled_from(("previews", "nowhere")),
        strategies.integers(0, 8),
    ),
    strategies.builds(
        records.HostDraining,
        strategies.sampled_from(("h1", "h2")),
        strategies.just("fan"),
        strategies.integers(0, 8),
    ),
)


class FuzzTest(testtools.TestCase):
    """Each reader either accepts its whole input or raises its own error."""

    @fixed
    @hypothesis.given(rules_texts | strategies.text())
    def test_rules(self, text):
        try:
            rule_set = rules_parser.read_rules(text)
        except rules_parser.RulesError as error:
            lines = len(text.splitlines())
            for fault in error.exceptions:
                self.assertTrue(1 <= fault.line <= lines and fault.column >= 1)
        else:
            for pool in rule_set.pools.values():
                self.assertTrue(pool.asked_by)

    @fixed
    @hypothesis.given(strategies.text())
    def test_settings_text(self, text):
        try:
            settings.parse_settings(text)
        except settings.SettingsError as error:
            self.assertTrue(str(error))

    @fixed
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(("name", "callers", "entries", "log", "region")),
            json_values,
        )
    )
    def test_settings_values(self, values):
        self.patch(settings.yaml, "safe_load", lambda _text: values)
        try:
            settings.parse_settings("")
        except settings.SettingsError as error:
            self.assertTrue(str(error))

    @fixed
    @hypothesis.given(json_values, strategies.sampled_from(list(records.BODY_TYPES)))
    def test_log_records(self, value, kind):
        envelope = {"v": 1, "kind": kind, "id": "a", "author": "b", "body": value}
        envelope |= {"asked_by": "c", "made_at": 1.0}
        for text in (msgspec.json.encode(value), msgspec.json.encode(envelope)):
            try:
                record = log_wire.decode_record(text.decode())
            except log_wire.RecordFormatError as error:
                self.assertTrue(str(error))
            else:
                self.assertEqual("a", record.id)

    @fixed
    @hypothesis.given(strategies.text())
    def test_log_record_text(self, text):
        self.assertRaises(log_wire.RecordFormatError, log_wire.decode_record, text)

    @fixed
    @hypothesis.given(strategies.lists(bodies, max_size=12))
    def test_folded_records(self, drawn):
        state = fleet.FleetState()
        for offset, body in enumerate(drawn, start=1):
            before = (state.rules_version, dict(state.hosts))
            record = records.new_record(body, "a", "b", 1.0)
            verdict = fleet.fold(state, offset, record)
            if not verdict.accepted:
                self.assertEqual(before, (state.rules_version, dict(state.hosts)))
                self.assertTrue(verdict.reason)

    @fixed
    @hypothesis.given(strategies.binary())
    def test_answers_of_the_platform(self, content):
        for decode, error_class in (
            (log_wire.decode_batch, log_wire.RecordFormatError),
            (host_list_wire.decode_listing, host_list_wire.ListingFormatError),
        ):
            try:
                decode(content)
            except error_class as error:
                self.assertTrue(str(error))

    @fixed
    @hypothesis.given(strategies.binary())
    def test_changes_of_operators(self, content):
        self.assertRaises(
            operators_wire.ChangeFormatError, operators_wire.decode_change, content
        )

    @fixed
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 200), strategies.integers(0, 255))
        )
    )
    def test_messages_between_daemons(self, changes):
        message = entries_wire.SCHEMA.Status.new_message()
        status = entries_wire.Status("a", "a.1", "entry", "z", "x:1", 7, 3, ("h1",))
        entries_wire.fill_status(message, status)
        content = bytearray(message.to_bytes())
        for place, value in changes:
            content[place % len(content)] = value
        try:
            with entries_wire.SCHEMA.Status.from_bytes(bytes(content)) as reader:
                entries_wire.read_status(reader)
        except entries_wire.MessageFormatError as error:
            self.assertTrue(str(error))
        except capnp.KjException as error:
            self.assertTrue(str(error))

    @few
    @hypothesis.given(strategies.binary(min_size=1, max_size=80))
    def test_requests_of_callers(self, content):
        told = test_callers.serve_caller(content + b"\r\n\r\n")
        if told:
            self.assertIn("azurelanding-outcome: not-run", told.lower())

    def test_garbage_does_not_stop_the_server_for_peers(self):
        anyio.run(self.send_garbage_to_peer_server)

    async def send_garbage_to_peer_server(self):
        address = f"127.0.0.1:{free_ports(1)[0]}"
        server = PeerServer(address, members=None)
        async with capnp.kj_loop(), anyio.create_task_group() as task_group:
            await server.start(task_group)
            for _ in range(3):
                host, port = addresses.split_address(address)
                async with await anyio.connect_tcp(host, port) as stream:
                    await stream.send(b"\xff" * 64)
            await server.close()
            task_group.cancel_scope.cancel()

"""Tests of edits of a rules file."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from azurelanding import fleet, records, rule_edits
from azurelanding.log_service import wire

texts = st.lists(st.sampled_from(("a # X", "b # Y", "", "c # Z\r"))).map("\n".join)
RULES = "pool cuts  # Ana\npool spare spare=yes  # Ana\n"


class RuleEditsTest(testtools.TestCase):
    """Edits have the same effect as publishing the whole text."""

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(texts, texts)
    def test_applying_edits_gives_the_new_text(self, old, new):
        edits = rule_edits.make_edits(old, new)
        self.assertEqual(new, rule_edits.apply_edits(old, edits))

    def test_edits_beyond_the_text_are_refused(self):
        for start, removed in ((3, 0), (0, 3), (-1, 1), (1, -1)):
            edit = rule_edits.Edit(start, removed, ())
            self.assertRaises(
                rule_edits.EditError, rule_edits.apply_edits, "a\nb\n", (edit,)
            )

    def fold(self, state, body):
        record = records.new_record(body, "c1", "ana", 1.0)
        decoded = wire.decode_record(wire.encode_record(record), state.format)
        return fleet.fold(state, state.next_offset, decoded)

    def test_folding_edits_puts_the_new_rules_in_force(self):
        state = fleet.FleetState()
        self.fold(state, records.RulesPublished(RULES, 0))
        new = RULES + "pool labels  # Bo\n"
        edits = rule_edits.make_edits(RULES, new)
        self.assertTrue(self.fold(state, records.RulesEdited(edits, 1)).accepted)
        self.assertEqual((new, 2), (state.rules_text, state.rules_version))
        self.assertIn("labels", state.rules.pools)

    def test_edits_of_an_old_version_are_rejected_with_the_winner(self):
        state = fleet.FleetState()
        self.fold(state, records.RulesPublished(RULES, 0))
        verdict = self.fold(state, records.RulesEdited((), 0))
        self.assertEqual((False, "ana"), (verdict.accepted, verdict.winner))

    def test_edits_beyond_the_text_are_rejected_and_change_nothing(self):
        state = fleet.FleetState()
        self.fold(state, records.RulesPublished(RULES, 0))
        edits = (rule_edits.Edit(9, 1, ("pool labels  # Bo\n",)),)
        verdict = self.fold(state, records.RulesEdited(edits, 1))
        self.assertFalse(verdict.accepted)
        self.assertEqual((RULES, 1), (state.rules_text, state.rules_version))

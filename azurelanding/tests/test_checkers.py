"""Tests that the history checkers find planted violations."""

import testtools

from azurelanding import histories
from azurelanding.histories import CallerResult, LedgerRecord
from azurelanding.requests import Outcome

WHOLE = CallerResult("a", Outcome.RAN, "1", echo="a")


class CheckersTest(testtools.TestCase):
    """Each checker passes a true history and finds what is planted."""

    def assert_found(self, name, history, ledger):
        found = histories.check_history(history, ledger)
        self.assertEqual([name], [kind for kind, faults in found.items() if faults])

    def test_passes_a_true_history(self):
        history = [
            WHOLE,
            CallerResult("b", Outcome.NOT_RUN, "2"),
            CallerResult("c", Outcome.UNKNOWN, "3"),
            CallerResult("d", None),
            CallerResult("e", Outcome.RAN, "5", echo="e", repeatable=True),
        ]
        ledger = [
            LedgerRecord("a", "1"),
            LedgerRecord("d", "4"),
            LedgerRecord("e", "5"),
            LedgerRecord("e", "5"),
        ]
        found = histories.check_history(history, ledger)
        self.assertEqual([], [fault for faults in found.values() for fault in faults])

    def test_finds_a_false_not_run(self):
        told = CallerResult("b", Outcome.NOT_RUN, "2")
        self.assert_found("false_not_run", [told], [LedgerRecord("b", "2")])

    def test_finds_a_false_ran(self):
        self.assert_found("false_ran", [WHOLE], [])

    def test_finds_the_answer_to_another_request(self):
        told = CallerResult("b", Outcome.RAN, "2", echo="a")
        self.assert_found("wrong_caller", [told], [LedgerRecord("b", "2")])

    def test_finds_a_partial_answer(self):
        told = CallerResult("b", Outcome.RAN, "2", echo=None)
        self.assert_found("partial_as_whole", [told], [LedgerRecord("b", "2")])

    def test_finds_a_double(self):
        self.assert_found(
            "doubles", [WHOLE], [LedgerRecord("a", "1"), LedgerRecord("a", "9")]
        )

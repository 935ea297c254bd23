"""Tests of the checkers of caller histories."""

import testtools

from azurelanding import histories
from azurelanding.histories import CallerResult, LedgerRecord
from azurelanding.requests import Outcome

COMPLETE_RESULT = CallerResult("a", Outcome.RAN, "1", echo="a")


class CheckersTest(testtools.TestCase):
    """Each checker accepts a correct history and reports a violation."""

    def assert_reported(self, checker, history, ledger):
        found = histories.check_history(history, ledger)
        self.assertEqual([checker], [name for name, texts in found.items() if texts])

    def test_accepts_a_correct_history(self):
        history = [
            COMPLETE_RESULT,
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
        self.assertEqual([], [text for texts in found.values() for text in texts])

    def test_reports_a_not_run_request_that_ran(self):
        result = CallerResult("b", Outcome.NOT_RUN, "2")
        self.assert_reported("false_not_run", [result], [LedgerRecord("b", "2")])

    def test_reports_a_ran_request_that_never_ran(self):
        self.assert_reported("false_ran", [COMPLETE_RESULT], [])

    def test_reports_the_answer_to_another_request(self):
        result = CallerResult("b", Outcome.RAN, "2", echo="a")
        self.assert_reported("wrong_caller", [result], [LedgerRecord("b", "2")])

    def test_reports_a_partial_answer(self):
        result = CallerResult("b", Outcome.RAN, "2", echo=None)
        self.assert_reported("partial_as_whole", [result], [LedgerRecord("b", "2")])

    def test_reports_an_operation_that_ran_twice(self):
        self.assert_reported(
            "doubles",
            [COMPLETE_RESULT],
            [LedgerRecord("a", "1"), LedgerRecord("a", "9")],
        )

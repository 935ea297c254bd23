"""Tests of the checkers of caller histories."""

import testtools

from azurelanding import histories
from azurelanding.histories import Ran, Told
from azurelanding.requests import Outcome

COMPLETE_RESULT = Told("a", Outcome.RAN, "1", echo="a")


class CheckersTest(testtools.TestCase):
    """Each checker accepts a correct history and reports a violation."""

    def assert_reported(self, checker, history, ledger):
        found = histories.check_history(history, ledger)
        self.assertEqual([checker], [name for name, texts in found.items() if texts])

    def test_accepts_a_correct_history(self):
        history = [
            COMPLETE_RESULT,
            Told("b", Outcome.NOT_RUN, "2"),
            Told("c", Outcome.UNKNOWN, "3"),
            Told("d", None),
            Told("e", Outcome.RAN, "5", echo="e", repeatable=True),
        ]
        ledger = [Ran("a", "1"), Ran("d", "4"), Ran("e", "5"), Ran("e", "5")]
        found = histories.check_history(history, ledger)
        self.assertEqual([], [text for texts in found.values() for text in texts])

    def test_reports_a_not_run_request_that_ran(self):
        result = Told("b", Outcome.NOT_RUN, "2")
        self.assert_reported("false_not_run", [result], [Ran("b", "2")])

    def test_reports_a_ran_request_that_never_ran(self):
        self.assert_reported("false_ran", [COMPLETE_RESULT], [])

    def test_reports_the_answer_to_another_request(self):
        result = Told("b", Outcome.RAN, "2", echo="a")
        self.assert_reported("wrong_caller", [result], [Ran("b", "2")])

    def test_reports_a_partial_answer(self):
        result = Told("b", Outcome.RAN, "2", echo=None)
        self.assert_reported("partial_as_whole", [result], [Ran("b", "2")])

    def test_reports_an_operation_that_ran_twice(self):
        self.assert_reported(
            "doubles", [COMPLETE_RESULT], [Ran("a", "1"), Ran("a", "9")]
        )

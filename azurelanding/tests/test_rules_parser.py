"""Tests of parsing rules files."""

import testtools

from azurelanding import rules_parser
from azurelanding.requests import Urgency

VALID_RULES = """
# A line of its own may be a comment.
pool previews hosts=preview-* availability=95%  # Marisol: bees wait at tables
service preview pool=previews urgency=urgent deadline=2s  # Marisol
"""


class ReadRulesTest(testtools.TestCase):
    """Parsing of valid and invalid rules files."""

    def errors_of(self, text):
        error = self.assertRaises(
            rules_parser.RulesError, rules_parser.read_rules, text
        )
        return [str(line_error) for line_error in error.exceptions]

    def test_valid_file_is_parsed(self):
        rule_set = rules_parser.read_rules(VALID_RULES)
        self.assertEqual(0.95, rule_set.pools["previews"].availability)
        service = rule_set.services["preview"]
        self.assertEqual((Urgency.URGENT, 2.0), (service.urgency, service.deadline))
        self.assertEqual("Marisol", service.asked_by)

    def test_rule_that_names_no_asker_is_an_error(self):
        errors = self.errors_of("pool previews hosts=a*\n")
        self.assertEqual(1, len(errors))
        self.assertIn("line 1, column 23: expected a comment", errors[0])

    def test_references_to_an_invalid_pool_are_no_further_errors(self):
        errors = self.errors_of(
            "pool cuts\nservice cut-list pool=cuts  # T\nmaintenance cuts  # T\n"
        )
        self.assertEqual(1, len(errors), errors)
        self.assertIn("line 1, column 10: expected a comment", errors[0])

    def test_all_errors_are_reported_together_with_hints(self):
        errors = self.errors_of(
            "pol previews  # A\n"
            "pool cuts availabilty=95% buffer=x  # B\n"
            "service preview pool=cut deadline=2  # C\n"
            "service archive pool=cutt  # C\n"
            "pool cut  # D\n"
        )
        self.assertEqual(
            [
                "line 1, column 1: expected one of pool, service, team, job, "
                "maintenance, got pol; did you mean pool?",
                "line 2, column 11: expected an option such as hosts=…, got "
                "availabilty=95%; did you mean availability?",
                "line 2, column 34: buffer: expected a whole number, got x",
                "line 3, column 35: deadline: expected a duration: a number "
                "followed by one of ms, s, m, h, d, w, got 2",
                "line 4, column 9: archive: there is no pool cutt; did you mean cut?",
            ],
            errors,
        )

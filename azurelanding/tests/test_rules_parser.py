"""Tests of reading rules files."""

import testtools

from azurelanding import rules_parser
from azurelanding.requests import Urgency

GOOD = """
# A line of its own may be a comment.
pool previews hosts=preview-* availability=95%  # Marisol: bees wait at tables
service preview pool=previews urgency=urgent deadline=2s  # Marisol
"""


class ReadRulesTest(testtools.TestCase):
    """Reading rules files, good and faulty."""

    def faults_of(self, text):
        error = self.assertRaises(
            rules_parser.RulesError, rules_parser.read_rules, text
        )
        return [str(fault) for fault in error.exceptions]

    def test_reads_a_good_file(self):
        rule_set = rules_parser.read_rules(GOOD)
        self.assertEqual(0.95, rule_set.pools["previews"].availability)
        service = rule_set.services["preview"]
        self.assertEqual((Urgency.URGENT, 2.0), (service.urgency, service.deadline))
        self.assertEqual("Marisol", service.asked_by)

    def test_refuses_a_rule_without_asker(self):
        faults = self.faults_of("pool previews hosts=a*\n")
        self.assertEqual(1, len(faults))
        self.assertIn("line 1, column 23: expected a comment", faults[0])

    def test_a_faulty_pool_is_one_fault_and_not_missing_elsewhere(self):
        faults = self.faults_of(
            "pool cuts\nservice cut-list pool=cuts  # T\nmaintenance cuts  # T\n"
        )
        self.assertEqual(1, len(faults), faults)
        self.assertIn("line 1, column 10: expected a comment", faults[0])

    def test_finds_all_faults_at_once_with_hints(self):
        faults = self.faults_of(
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
            faults,
        )

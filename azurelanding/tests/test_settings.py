"""Tests of settings: defaults, errors and warnings that name the setting."""

import structlog.testing
import testtools

from azurelanding import settings

NAMES = "name: entry-1\navailability_zone: fresno-a\n"


class SettingsTest(testtools.TestCase):
    """Parsing of valid and invalid settings files."""

    def error_of(self, text):
        error = self.assertRaises(settings.SettingsError, settings.parse_settings, text)
        return str(error)

    def test_missing_settings_get_defaults(self):
        parsed = settings.parse_settings(NAMES + "callers: {max_header: 4096}\n")
        self.assertEqual("fresno-a", parsed.availability_zone)
        self.assertEqual(4096, parsed.callers.max_header)
        self.assertEqual("127.0.0.1:8080", parsed.callers.address)

    def test_missing_zone_is_an_error_that_names_it(self):
        self.assertIn("availability_zone", self.error_of("name: entry-1\n"))

    def test_empty_zone_is_an_error(self):
        text = "name: a\navailability_zone: ''\n"
        self.assertIn("availability_zone", self.error_of(text))

    def test_wrong_type_is_an_error_with_the_path_of_the_setting(self):
        text = NAMES + "log_service: {timeout: soon}\n"
        self.assertEqual(
            "log_service.timeout: Expected `float`, got `str`", self.error_of(text)
        )

    def test_invalid_address_is_an_error_with_the_path_of_the_setting(self):
        for address in ("localhost:80", "127.0.0.1", "127.0.0.1:70000", "::1:80x"):
            text = NAMES + f"callers: {{address: '{address}'}}\n"
            error = self.error_of(text)
            self.assertTrue(error.startswith("callers.address: expected IP:PORT"))
        text = NAMES + "entries: {fellows: ['127.0.0.1:1', nowhere]}\n"
        self.assertIn("entries.fellows", self.error_of(text))

    def test_time_not_above_zero_is_an_error(self):
        for value in ("0", "-1", ".nan"):
            text = NAMES + f"targets: {{trust: {value}}}\n"
            self.assertIn("targets.trust", self.error_of(text))

    def test_text_that_is_no_yaml_mapping_is_an_error(self):
        self.assertIn("mapping", self.error_of("- a\n"))
        self.assertIn("not YAML", self.error_of("a: [\n"))

    def test_unknown_settings_are_logged_with_a_hint(self):
        logger = structlog.testing.CapturingLogger()
        self.patch(settings, "logger", logger)
        settings.parse_settings(NAMES + "callers: {adress: x}\n1: 2\n")
        warnings = [(c.kwargs["setting"], c.kwargs["hint"]) for c in logger.calls]
        self.assertIn(("callers.adress", "did you mean address?"), warnings)
        self.assertIn(("1", ""), warnings)

    def test_unreadable_file_is_an_error_that_names_it(self):
        error = self.assertRaises(
            settings.SettingsError, settings.read_settings, "no/such/file.yaml"
        )
        self.assertIn("no/such/file.yaml", str(error))

"""Tests that the pages name what the code has."""

import pathlib
import re
import typing

import attrs
import testtools

import azurelanding
from azurelanding import main, rules, settings
from azurelanding.operators.command_line import ExitCode

PACKAGE = pathlib.Path(azurelanding.__file__).parent
DOCS = PACKAGE.parent / "docs"
COMMANDS = (*main.COMMANDS, main.entry, main.control)


def read_page(name):
    """Return the text of the page ``name``."""
    return (DOCS / name).read_text()


def first_cells(text):
    """Return the names in back quotes in the first cell of each row of ``text``."""
    rows = re.findall(r"^\| (`[^|]+) \|", text, re.MULTILINE)
    return {name for row in rows for name in re.findall(r"`([^`]+)`", row)}


def setting_names(settings_type, path=""):
    """Yield the path of each setting."""
    hints = typing.get_type_hints(settings_type)
    for field in attrs.fields(settings_type):
        if attrs.has(hints[field.name]):
            yield from setting_names(hints[field.name], f"{path}{field.name}.")
        else:
            yield f"{path}{field.name}"


def module_names():
    """Yield the stem of each module but those of the tests."""
    for path in PACKAGE.rglob("*.py"):
        if "tests" not in path.parts and not path.stem.startswith("__"):
            yield path.stem


class PagesTest(testtools.TestCase):
    """What the pages list is what there is."""

    def test_each_command_and_exit_code_is_on_the_operators_page(self):
        page = read_page("OPERATORS.md")
        told = {name.split()[0] for name in first_cells(page)}
        names = {command.__name__.replace("_", "-") for command in COMMANDS}
        self.assertEqual(names, told)
        codes = re.findall(r"^\| (\d+) \|", page, re.MULTILINE)
        self.assertEqual([int(code) for code in ExitCode], [int(c) for c in codes])

    def test_the_settings_page_has_just_the_settings(self):
        names = set(setting_names(settings.Settings))
        self.assertEqual(names, first_cells(read_page("SETTINGS.md")))

    def test_the_rules_page_has_just_the_options_of_each_kind(self):
        page = read_page("RULES.md")
        for kind, rule_type in rules.RULE_TYPES.items():
            section = page.partition(f"\n## {kind}\n")[2].partition("\n## ")[0]
            options = {
                field.name.replace("_", "-")
                for field in attrs.fields(rule_type)
                if "read" in field.metadata
            }
            self.assertEqual(options, first_cells(section), kind)

    def test_each_module_is_on_the_internals_page(self):
        table = read_page("INTERNALS.md").partition("## Wire formats")[0]
        told = set(re.findall(r"`([a-z_]+)`", table))
        self.assertEqual(set(), set(module_names()) - told)

    def test_each_metric_is_on_the_metrics_page(self):
        told = {
            re.sub(r"[A-Z]+", "*", name)
            for name in first_cells(read_page("METRICS.md"))
        }
        called = re.compile(r"metrics\.(?:count|gauge|timing)\(\s*f?\"([^\"]+)\"")
        for path in PACKAGE.rglob("*.py"):
            if "tests" in path.parts or path.name == "metrics.py":
                continue
            for name in called.findall(path.read_text()):
                head = re.sub(r"\{[^}]+\}", "*", name)
                self.assertTrue(
                    any(known.startswith(head) for known in told), (path.name, head)
                )

    def test_each_page_is_in_the_table_of_the_readme(self):
        table = (DOCS.parent / "README.md").read_text()
        for page in DOCS.glob("*.md"):
            self.assertIn(f"](docs/{page.name}) |", table)

    def test_links_between_pages_lead_somewhere(self):
        for page in (DOCS.parent / "README.md", *DOCS.glob("*.md")):
            for link in re.findall(r"\]\(([^)#:]+\.md)", page.read_text()):
                self.assertTrue((page.parent / link).exists(), f"{page.name}: {link}")

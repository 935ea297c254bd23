"""Parse a rules file into a ``RuleSet``.

The file is plain text with one rule on each line. Each rule ends in a comment that
names who asked for it:

    pool previews hosts=preview-* availability=95%  # Marisol: bees wait at tables

All errors of a file are reported together.
"""

import difflib
import re

import attrs

from azurelanding import rules, units

WORD_PATTERN = re.compile(r"\S+")
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]*")
RULE_SET_FIELDS = {
    "pool": "pools",
    "service": "services",
    "team": "teams",
    "job": "jobs",
    "maintenance": "maintenance",
}


class LineError(ValueError):
    """An error in a rules file; ``line`` and ``column`` count from 1."""

    def __init__(self, line, column, problem):
        super().__init__(f"line {line}, column {column}: {problem}")
        self.line = line
        self.column = column
        self.problem = problem


class RulesError(ExceptionGroup):
    """All errors of a rules file; ``exceptions`` are ``LineError``s."""

    def derive(self, exceptions):
        """Return a group of the same type with ``exceptions``."""
        return RulesError(self.message, exceptions)


def suggest(word, known):
    """Return ``; did you mean …?`` for the most similar known word, or ``""``."""
    matches = difflib.get_close_matches(word, list(known), n=1, cutoff=0.5)
    return f"; did you mean {matches[0]}?" if matches else ""


@attrs.frozen
class _Line:
    """A line split into words, each with its column, and a comment."""

    number: int
    words: tuple[tuple[int, str], ...]
    asked_by: str
    end_column: int


def _split_line(number, text):
    rule_text, hash_sign, comment = text.partition("#")
    words = tuple((m.start() + 1, m[0]) for m in WORD_PATTERN.finditer(rule_text))
    asked_by = comment.partition(":")[0].strip() if hash_sign else ""
    return _Line(number, words, asked_by, len(rule_text.rstrip()) + 1)


def _read_option(line, column, word, options, errors):
    name, equals, text = word.partition("=")
    field = options.get(name)
    if not equals or field is None:
        expected = f"expected an option such as {next(iter(options))}=…"
        hint = suggest(name, options)
        errors.append(LineError(line.number, column, f"{expected}, got {word}{hint}"))
        return None
    try:
        return field.name, field.metadata["read"](text)
    except units.UnitError as error:
        column += len(name) + 1
        problem = f"{name}: {error}, got {text or 'nothing'}"
        errors.append(LineError(line.number, column, problem))
        return field.name, None


def _read_options(line, rule_type, errors):
    fields = [f for f in attrs.fields(rule_type) if "read" in f.metadata]
    options = {field.name.replace("_", "-"): field for field in fields}
    values = {}
    for column, word in line.words[2:]:
        pair = _read_option(line, column, word, options, errors)
        if pair is None:
            continue
        if pair[0] in values:
            errors.append(LineError(line.number, column, f"{word} is given twice"))
        values[pair[0]] = pair[1]
    for name, field in options.items():
        if field.default is attrs.NOTHING and field.name not in values:
            problem = f"expected {name}=…, which this rule needs"
            errors.append(LineError(line.number, line.end_column, problem))
    return values


def _read_rule(line, errors):
    """Return the keyword and rule of ``line``, or ``None`` if it has errors."""
    column, keyword = line.words[0]
    rule_type = rules.RULE_TYPES.get(keyword)
    if rule_type is None:
        kinds = ", ".join(rules.RULE_TYPES)
        hint = suggest(keyword, rules.RULE_TYPES)
        problem = f"expected one of {kinds}, got {keyword}{hint}"
        errors.append(LineError(line.number, column, problem))
        return None
    error_count = len(errors)
    if len(line.words) < 2 or not NAME_PATTERN.fullmatch(line.words[1][1]):
        name_column = line.words[1][0] if len(line.words) > 1 else line.end_column
        problem = f"expected the name of the {keyword}: a-z, 0-9, dots and dashes"
        errors.append(LineError(line.number, name_column, problem))
    if not line.asked_by:
        problem = "expected a comment that names who asked for the rule: # NAME"
        errors.append(LineError(line.number, line.end_column, problem))
    values = _read_options(line, rule_type, errors)
    if len(errors) > error_count:
        return None
    rule = rule_type(line.words[1][1], asked_by=line.asked_by, **values)
    return keyword, rule


def _declared_pools(line):
    """Return the name of the pool that an invalid ``line`` declares, if any.

    A reference to that pool is then not reported as a further error.
    """
    words = [word for _, word in line.words]
    return words[1:2] if words[0] == "pool" else []


def _pool_references(rule_set):
    """Yield each rule that refers to a pool, with the name of the pool."""
    for service in rule_set.services.values():
        for pool in (service.pool, *service.borrows):
            yield service, pool
    for job in rule_set.jobs.values():
        yield job, job.pool
    for maintenance in rule_set.maintenance.values():
        yield maintenance, maintenance.name


def _check_pool_references(rule_set, invalid_pools, positions, errors):
    for rule, pool in _pool_references(rule_set):
        if pool in rule_set.pools or pool in invalid_pools:
            continue
        hint = suggest(pool, rule_set.pools)
        line, column = positions[type(rule), rule.name]
        problem = f"{rule.name}: there is no pool {pool}{hint}"
        errors.append(LineError(line, column, problem))


def _check_pools(rule_set, positions, errors):
    spares = [pool for pool in rule_set.pools.values() if pool.spare]
    for pool in spares[1:]:
        line, column = positions[rules.PoolRule, pool.name]
        problem = f"only one pool is the spare; {spares[0].name} is already"
        errors.append(LineError(line, column, problem))
    for name in rule_set.pools:
        floors = sum(service.floor for service in rule_set.services_of(name))
        if floors > 1.0 + 1e-9:
            line, column = positions[rules.PoolRule, name]
            problem = f"the floors of the services of {name} add up to {floors:.2f}"
            errors.append(LineError(line, column, f"{problem}, more than 1"))


def read_rules(text):
    """Return the ``RuleSet`` declared in the text of a rules file.

    Raises ``RulesError`` with a ``LineError`` for every error in the text.
    """
    rule_set, positions, errors = rules.RuleSet(), {}, []
    invalid_pools = set()
    for number, line_text in enumerate(text.splitlines(), start=1):
        line = _split_line(number, line_text)
        if not line.words:
            continue
        pair = _read_rule(line, errors)
        if pair is None:
            invalid_pools.update(_declared_pools(line))
            continue
        keyword, rule = pair
        rules_by_name = getattr(rule_set, RULE_SET_FIELDS[keyword])
        if rule.name in rules_by_name:
            problem = f"{keyword} {rule.name} is declared twice"
            errors.append(LineError(number, line.words[1][0], problem))
        rules_by_name[rule.name] = rule
        positions[type(rule), rule.name] = (number, line.words[1][0])
    _check_pool_references(rule_set, invalid_pools, positions, errors)
    _check_pools(rule_set, positions, errors)
    if errors:
        errors.sort(key=lambda error: (error.line, error.column))
        raise RulesError(f"the rules file has {len(errors)} fault(s)", errors)
    return rule_set

"""Read a rules file into a ``RuleSet``.

The file is plain text with one rule on each line, and each rule ends in a comment
that names who asked for it:

    pool previews hosts=preview-* availability=95%  # Marisol: bees wait at tables

All faults of a file are found at once and leave together.
"""

import difflib
import re

import attrs

from azurelanding import rules, units

WORD = re.compile(r"\S+")
NAME = re.compile(r"[a-z0-9][a-z0-9.-]*")
RULE_SET_FIELDS = {
    "pool": "pools",
    "service": "services",
    "team": "teams",
    "job": "jobs",
    "maintenance": "maintenance",
}


class LineError(ValueError):
    """One fault of a rules file, with the place where it stands."""

    def __init__(self, line, column, problem):
        super().__init__(f"line {line}, column {column}: {problem}")
        self.line = line
        self.column = column
        self.problem = problem


class RulesError(ExceptionGroup):
    """All faults of a rules file; ``exceptions`` are ``LineError``s."""

    def derive(self, exceptions):
        """Return a group of some of the faults."""
        return RulesError(self.message, exceptions)


def suggest(word, known):
    """Return ``; did you mean …`` for the known word nearest to ``word``."""
    near = difflib.get_close_matches(word, list(known), n=1, cutoff=0.5)
    return f"; did you mean {near[0]}?" if near else ""


@attrs.frozen
class _Line:
    number: int
    words: tuple[tuple[int, str], ...]
    asked_by: str
    length: int


def _split_line(number, text):
    rule_text, mark, comment = text.partition("#")
    words = tuple((m.start() + 1, m[0]) for m in WORD.finditer(rule_text))
    asked_by = comment.partition(":")[0].strip() if mark else ""
    return _Line(number, words, asked_by, len(rule_text.rstrip()) + 1)


def _read_option(line, column, word, options, faults):
    name, equals, text = word.partition("=")
    field = options.get(name)
    if not equals or field is None:
        expected = f"expected an option such as {next(iter(options))}=…"
        hint = suggest(name, options)
        faults.append(LineError(line.number, column, f"{expected}, got {word}{hint}"))
        return None
    try:
        return field.name, field.metadata["read"](text)
    except units.UnitError as error:
        column += len(name) + 1
        problem = f"{name}: {error}, got {text or 'nothing'}"
        faults.append(LineError(line.number, column, problem))
        return field.name, None


def _read_options(line, rule_type, faults):
    fields = [f for f in attrs.fields(rule_type) if "read" in f.metadata]
    options = {field.name.replace("_", "-"): field for field in fields}
    values = {}
    for column, word in line.words[2:]:
        pair = _read_option(line, column, word, options, faults)
        if pair is None:
            continue
        if pair[0] in values:
            faults.append(LineError(line.number, column, f"{word} is given twice"))
        values[pair[0]] = pair[1]
    for name, field in options.items():
        if field.default is attrs.NOTHING and field.name not in values:
            problem = f"expected {name}=…, which this rule needs"
            faults.append(LineError(line.number, line.length, problem))
    return values


def _read_rule(line, faults):
    """Return the keyword and rule of ``line``, or ``None`` after a fault."""
    column, keyword = line.words[0]
    rule_type = rules.RULE_TYPES.get(keyword)
    if rule_type is None:
        kinds = ", ".join(rules.RULE_TYPES)
        hint = suggest(keyword, rules.RULE_TYPES)
        problem = f"expected one of {kinds}, got {keyword}{hint}"
        faults.append(LineError(line.number, column, problem))
        return None
    before = len(faults)
    if len(line.words) < 2 or not NAME.fullmatch(line.words[1][1]):
        place = line.words[1][0] if len(line.words) > 1 else line.length
        problem = f"expected the name of the {keyword}: a-z, 0-9, dots and dashes"
        faults.append(LineError(line.number, place, problem))
    if not line.asked_by:
        problem = "expected a comment that names who asked for the rule: # NAME"
        faults.append(LineError(line.number, line.length, problem))
    values = _read_options(line, rule_type, faults)
    if len(faults) > before:
        return None
    rule = rule_type(line.words[1][1], asked_by=line.asked_by, **values)
    return keyword, rule


def _pool_named(line):
    """Return the name of the pool that a faulty ``line`` declares, if it does."""
    words = [word for _, word in line.words]
    return words[1:2] if words[0] == "pool" else []


def _references(rule_set):
    """Yield the rule, the option and the name of each pool that a rule names."""
    for service in rule_set.services.values():
        for pool in (service.pool, *service.borrows):
            yield service, pool
    for job in rule_set.jobs.values():
        yield job, job.pool
    for maintenance in rule_set.maintenance.values():
        yield maintenance, maintenance.name


def _check_references(rule_set, faulty_pools, places, faults):
    for rule, pool in _references(rule_set):
        if pool in rule_set.pools or pool in faulty_pools:
            continue
        hint = suggest(pool, rule_set.pools)
        line, column = places[type(rule), rule.name]
        problem = f"{rule.name}: there is no pool {pool}{hint}"
        faults.append(LineError(line, column, problem))


def _check_pools(rule_set, places, faults):
    spares = [pool for pool in rule_set.pools.values() if pool.spare]
    for pool in spares[1:]:
        line, column = places[rules.PoolRule, pool.name]
        problem = f"only one pool is the spare; {spares[0].name} is already"
        faults.append(LineError(line, column, problem))
    for name in rule_set.pools:
        floors = sum(service.floor for service in rule_set.services_of(name))
        if floors > 1.0 + 1e-9:
            line, column = places[rules.PoolRule, name]
            problem = f"the floors of the services of {name} add up to {floors:.2f}"
            faults.append(LineError(line, column, f"{problem}, more than 1"))


def read_rules(text):
    """Return the ``RuleSet`` of a rules file.

    Raises ``RulesError`` with every ``LineError`` found; nothing of a faulty
    file is returned.
    """
    rule_set, places, faults = rules.RuleSet(), {}, []
    faulty_pools = set()
    for number, line_text in enumerate(text.splitlines(), start=1):
        line = _split_line(number, line_text)
        if not line.words:
            continue
        pair = _read_rule(line, faults)
        if pair is None:
            faulty_pools.update(_pool_named(line))
            continue
        keyword, rule = pair
        section = getattr(rule_set, RULE_SET_FIELDS[keyword])
        if rule.name in section:
            problem = f"{keyword} {rule.name} is declared twice"
            faults.append(LineError(number, line.words[1][0], problem))
        section[rule.name] = rule
        places[type(rule), rule.name] = (number, line.words[1][0])
    _check_references(rule_set, faulty_pools, places, faults)
    _check_pools(rule_set, places, faults)
    if faults:
        faults.sort(key=lambda fault: (fault.line, fault.column))
        raise RulesError(f"the rules file has {len(faults)} fault(s)", faults)
    return rule_set

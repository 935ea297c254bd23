"""Check histories of requests against the ledgers of the executors.

A history is a list of ``CallerResult``: what each caller was told. A ledger is a list of
``LedgerRecord``: what an executor noted before it ran a request. Each checker returns the
violations that it found, in words; an empty list is a pass.
"""

import collections

import attrs

from azurelanding.requests import Outcome


@attrs.frozen
class CallerResult:
    """What one caller was told about one request.

    ``marker`` is the text that only this operation carries and ``echo`` the
    text that the answer brought back, ``None`` when it held none. ``outcome`` is
    ``None`` when the caller got no whole reply. ``request_id`` is that of the
    reply. ``repeatable`` says that the operation may run more than once.
    """

    marker: str
    outcome: Outcome | None
    request_id: str = ""
    echo: str | None = None
    repeatable: bool = False


@attrs.frozen
class LedgerRecord:
    """One line of a ledger: a request that an executor began to run."""

    marker: str
    request_id: str


def find_false_refusals(history, ledger):
    """Return the requests told not run that an executor ran."""
    ran = {line.request_id for line in ledger}
    return [
        f"{told.marker} was told not-run, but ran as {told.request_id}"
        for told in history
        if told.outcome is Outcome.NOT_RUN and told.request_id in ran
    ]


def find_false_runs(history, ledger):
    """Return the requests told ran that no executor ran."""
    ran = {line.marker for line in ledger}
    return [
        f"{told.marker} was told ran, but never ran"
        for told in history
        if told.outcome is Outcome.RAN and told.marker not in ran
    ]


def find_wrong_answers(history):
    """Return the callers that got the answer to another request."""
    return [
        f"{told.marker} got the answer to {told.echo}"
        for told in history
        if told.outcome is Outcome.RAN
        and told.echo is not None
        and told.echo != told.marker
    ]


def find_partial_answers(history):
    """Return the callers whose answer was told as whole but was not."""
    return [
        f"{told.marker} got a partial answer"
        for told in history
        if told.outcome is Outcome.RAN and told.echo is None
    ]


def find_doubles(history, ledger):
    """Return the operations that must run once at most but ran more often."""
    repeatable = {told.marker for told in history if told.repeatable}
    runs = collections.Counter(line.marker for line in ledger)
    return [
        f"{marker} ran {count} times"
        for marker, count in runs.items()
        if count > 1 and marker not in repeatable
    ]


def check_history(history, ledger):
    """Return the violations found by each checker, by its name."""
    return {
        "false_not_run": find_false_refusals(history, ledger),
        "false_ran": find_false_runs(history, ledger),
        "wrong_caller": find_wrong_answers(history),
        "partial_as_whole": find_partial_answers(history),
        "doubles": find_doubles(history, ledger),
    }

"""Check the results that callers received against the ledgers of the executors.

A history is a list of ``CallerResult``, the result that each caller received. A ledger
is a list of ``LedgerRecord``, the lines that executors wrote before they ran a request.
Each checker returns a text for each violation; an empty list is a pass.
"""

import collections

import attrs

from azurelanding.requests import Outcome


@attrs.frozen
class CallerResult:
    """The result that one caller received for one request.

    ``marker`` is a text unique to the operation, and ``echo`` the text that the
    answer returned, ``None`` if it returned none. ``outcome`` is ``None`` if the
    caller got no complete reply. ``request_id`` is that of the reply.
    ``repeatable`` says whether the operation may run more than once.
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


def find_false_not_run(history, ledger):
    """Return the requests reported as not run that an executor ran."""
    ran = {line.request_id for line in ledger}
    return [
        f"{result.marker} was told not-run, but ran as {result.request_id}"
        for result in history
        if result.outcome is Outcome.NOT_RUN and result.request_id in ran
    ]


def find_false_ran(history, ledger):
    """Return the requests reported as run that no executor ran."""
    ran = {line.marker for line in ledger}
    return [
        f"{result.marker} was told ran, but never ran"
        for result in history
        if result.outcome is Outcome.RAN and result.marker not in ran
    ]


def find_misdelivered_answers(history):
    """Return the requests whose caller got the answer to another request."""
    return [
        f"{result.marker} got the answer to {result.echo}"
        for result in history
        if result.outcome is Outcome.RAN
        and result.echo is not None
        and result.echo != result.marker
    ]


def find_partial_answers(history):
    """Return the requests whose answer was reported as complete but was not."""
    return [
        f"{result.marker} got a partial answer"
        for result in history
        if result.outcome is Outcome.RAN and result.echo is None
    ]


def find_duplicate_runs(history, ledger):
    """Return the operations that ran more than once without being repeatable."""
    repeatable = {result.marker for result in history if result.repeatable}
    runs = collections.Counter(line.marker for line in ledger)
    return [
        f"{marker} ran {count} times"
        for marker, count in runs.items()
        if count > 1 and marker not in repeatable
    ]


def check_history(history, ledger):
    """Return the violations by the name of their checker."""
    return {
        "false_not_run": find_false_not_run(history, ledger),
        "false_ran": find_false_ran(history, ledger),
        "wrong_caller": find_misdelivered_answers(history),
        "partial_as_whole": find_partial_answers(history),
        "doubles": find_duplicate_runs(history, ledger),
    }

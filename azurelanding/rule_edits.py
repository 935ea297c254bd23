r"""Make and apply edits of a rules file.

With edits, the record of a change is as small as the change itself. An edit
replaces ``removed`` lines of the old text, from line ``start`` on, with the lines
``added``. Lines count from 0.

>>> edits = make_edits("pool a # X\n", "pool a # X\npool b # Y\n")
>>> edits
(Edit(start=1, removed=0, added=('pool b # Y\n',)),)
>>> apply_edits("pool a # X\n", edits)
'pool a # X\npool b # Y\n'
"""

import difflib

import attrs


class EditError(ValueError):
    """Edits overlap or reach beyond the text."""


@attrs.frozen
class Edit:
    """Lines of a text to remove, and lines to insert in their place."""

    start: int
    removed: int
    added: tuple[str, ...]


def make_edits(old_text, new_text):
    """Return the ``Edit``s that turn ``old_text`` into ``new_text``."""
    old, new = old_text.splitlines(keepends=True), new_text.splitlines(keepends=True)
    matcher = difflib.SequenceMatcher(None, old, new, autojunk=False)
    return tuple(
        Edit(start, end - start, tuple(new[new_start:new_end]))
        for tag, start, end, new_start, new_end in matcher.get_opcodes()
        if tag != "equal"
    )


def apply_edits(text, edits):
    """Return ``text`` with ``edits`` applied.

    Raises ``EditError`` when they overlap or reach beyond the text.
    """
    old, new, copied = text.splitlines(keepends=True), [], 0
    for edit in edits:
        end = edit.start + edit.removed
        if not copied <= edit.start <= end <= len(old):
            raise EditError(f"no lines {edit.start} to {end} after line {copied}")
        new += old[copied : edit.start]
        new += edit.added
        copied = end
    return "".join(new + old[copied:])

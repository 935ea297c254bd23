"""Parse and format quantities such as durations and sizes.

>>> read_duration("250ms"), read_size("4KB"), read_fraction("99.5%")
(0.25, 4096, 0.995)
"""

import re

SECONDS_PER_UNIT = {
    "ms": 0.001,
    "s": 1.0,
    "m": 60.0,
    "h": 3600.0,
    "d": 86_400.0,
    "w": 604_800.0,
}
BYTES_PER_UNIT = {"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}
QUANTITY_PATTERN = re.compile(r"(\d{1,15}(?:\.\d{1,15})?)([a-zA-Z]+)", re.ASCII)
"""No quantity that is of use has more digits, and none of these is too large."""
MAX_COUNT_DIGITS = 15


class UnitError(ValueError):
    """A quantity is invalid; the message says what was expected."""


def _read_quantity(text, factors, kind):
    match = QUANTITY_PATTERN.fullmatch(text)
    if match is None or match[2] not in factors:
        units = ", ".join(factors)
        raise UnitError(f"expected {kind}: a number followed by one of {units}")
    return float(match[1]) * factors[match[2]]


def read_duration(text):
    """Return the seconds of a text such as ``250ms``, ``6s`` or ``7w``."""
    return _read_quantity(text, SECONDS_PER_UNIT, "a duration")


def read_size(text):
    """Return the bytes of a text such as ``64KB``."""
    return int(_read_quantity(text, BYTES_PER_UNIT, "a size"))


def read_fraction(text):
    """Return the fraction, from 0 to 1, of a text such as ``0.995`` or ``99.5%``."""
    number, divisor = (text[:-1], 100.0) if text.endswith("%") else (text, 1.0)
    try:
        fraction = float(number) / divisor
    except ValueError:
        fraction = -1.0
    if not 0.0 <= fraction <= 1.0:
        raise UnitError("expected a fraction from 0 to 1, or a percentage")
    return fraction


def read_count(text):
    """Return the whole number, 0 or more, in ``text``."""
    if not text.isascii() or not text.isdecimal():
        raise UnitError("expected a whole number")
    if len(text) > MAX_COUNT_DIGITS:
        raise UnitError(f"expected a number of at most {MAX_COUNT_DIGITS} digits")
    return int(text)


def read_number(text):
    """Return the finite number, 0 or more, in ``text``, such as ``0.5``."""
    if not re.fullmatch(r"\d{1,15}(\.\d{1,15})?", text, re.ASCII):
        raise UnitError("expected a number")
    return float(text)


def read_flag(text):
    """Return ``True`` for ``yes`` and ``False`` for ``no``."""
    if text not in ("yes", "no"):
        raise UnitError("expected yes or no")
    return text == "yes"


def read_words(text):
    """Return the words of a comma-separated list."""
    words = tuple(text.split(","))
    if not all(words):
        raise UnitError("expected names separated by single commas")
    return words


def format_duration(seconds):
    """Return the duration in whole units of the largest unit that fits.

    >>> format_duration(250.0), format_duration(0.4)
    ('4m', '0s')
    """
    for unit, factor in reversed(SECONDS_PER_UNIT.items()):
        if seconds >= factor >= 1.0:
            return f"{int(seconds // factor)}{unit}"
    return "0s"

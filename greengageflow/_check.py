"""A small checker of JSON values that names every fault at once.

A check is a generator function: it takes a value and its path, yields a ``Fault``
for everything wrong, and returns the checked value, or ``INVALID``. Checks nest, so
that ``record`` and ``sequence`` collect the faults of their parts.
"""

import json
import re
from collections.abc import Callable, Generator, Iterable
from dataclasses import dataclass
from ipaddress import ip_address
from typing import Any

INVALID: Any = object()
"""What a check returns after it has yielded a fault."""

_SHOWN_LENGTH = 60
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")


class Fault(ValueError):
    """One thing wrong in a JSON document.

    Args:
        path: Where, like ``seeds[0].port``.
        expected: What should have stood there.
    """

    def __init__(self, path: str, expected: str) -> None:
        self.path = path or "document"
        self.expected = expected
        super().__init__(f"{self.path}: {self._text()}")

    def _text(self) -> str:
        return f"expected {self.expected}"


class MissingField(Fault):
    """A field that must be given is not there."""

    def _text(self) -> str:
        return f"missing, expected {self.expected}"


class UnknownField(Fault):
    """A field that is not known; ``expected`` lists the known ones."""

    def _text(self) -> str:
        return f"unknown field, expected one of: {self.expected}"


class WrongValue(Fault):
    """A field has a value of another type or outside its range."""

    def __init__(self, path: str, expected: str, found: Any) -> None:
        self.found = found
        super().__init__(path, expected)

    def _text(self) -> str:
        return f"expected {self.expected}, found {_shown(self.found)}"


Checked = Generator[Fault, None, Any]
Check = Callable[[Any, str], Checked]


@dataclass(frozen=True, slots=True)
class Field:
    """One field of a record.

    Args:
        check: Check of its value.
        expected: What stands there, for the message when it is missing.
        required: True when it must be given; else ``default`` takes its place.
        default: Value when it is not given.
    """

    check: Check
    expected: str
    required: bool = True
    default: Any = None


def required(check: Check) -> Field:
    """Return a field that must be given."""
    return Field(check, _describe(check))


def optional(check: Check, default: Any = None) -> Field:
    """Return a field that has a default."""
    return Field(check, _describe(check), False, default)


def _any_invalid(found: Iterable[Any]) -> bool:
    return any(part is INVALID for part in found)


def _describe(check: Check) -> str:
    return getattr(check, "expected", "a value")


def _shown(value: Any) -> str:
    text = json.dumps(value, default=repr)
    return text if len(text) <= _SHOWN_LENGTH else text[:_SHOWN_LENGTH] + "…"


def _simple(expected: str, good: Callable[[Any], bool], make: Any = None) -> Check:
    def check(value: Any, path: str) -> Checked:
        if not good(value):
            yield WrongValue(path, expected, value)
            return INVALID
        return value if make is None else make(value)

    check.expected = expected
    return check


def integer(low: int, high: int) -> Check:
    """Check for a whole number from ``low`` to ``high``."""
    return _simple(
        f"a whole number from {low} to {high}",
        lambda value: type(value) is int and low <= value <= high,
    )


def number(low: float, high: float) -> Check:
    """Check for a number from ``low`` to ``high``; NaN is outside any range."""
    return _simple(
        f"a number from {low:g} to {high:g}",
        lambda value: type(value) in (int, float) and low <= value <= high,
        float,
    )


def boolean() -> Check:
    """Check for true or false."""
    return _simple("true or false", lambda value: type(value) is bool)


def string(limit: int = 256) -> Check:
    """Check for a text of 1 to ``limit`` characters."""
    return _simple(
        f"a text of 1 to {limit} characters",
        lambda value: type(value) is str and 1 <= len(value) <= limit,
    )


def matching(pattern: str, expected: str) -> Check:
    """Check for a text that matches ``pattern`` wholly."""
    compiled = re.compile(pattern)
    return _simple(
        expected,
        lambda value: type(value) is str and bool(compiled.fullmatch(value)),
    )


def name() -> Check:
    """Check for a name."""
    return _simple(
        "a name of 1 to 128 letters, digits and ._:/- that starts with a letter or"
        " digit",
        lambda value: type(value) is str and bool(_NAME.fullmatch(value)),
    )


def choice(options: Iterable[str], make: Any = None) -> Check:
    """Check for one of ``options``."""
    options = tuple(options)
    return _simple(
        "one of " + ", ".join(options),
        lambda value: type(value) is str and value in options,
        make,
    )


def _is_ip(value: Any) -> bool:
    try:
        ip_address(value)
    except ValueError:
        return False
    return type(value) is str


def ip_number() -> Check:
    """Check for an IP number; names of hosts are not resolved."""
    return _simple("an IP number (not a host name)", _is_ip)


def sequence(item: Check, *, unique: str = "") -> Check:
    """Check for a list; returns a tuple.

    Args:
        item: Check of each item.
        unique: Attribute of the checked items that may not occur twice.
    """

    def check(value: Any, path: str) -> Checked:
        if type(value) is not list:
            yield WrongValue(path, check.expected, value)
            return INVALID
        found = []
        seen = set()
        for index, part in enumerate(value):
            at = f"{path}[{index}]"
            result = yield from item(part, at)
            key = getattr(result, unique, INVALID) if unique else INVALID
            if key is not INVALID and key in seen:
                yield WrongValue(f"{at}.{unique}", "a value not used before", key)
                result = INVALID
            seen.add(key)
            found.append(result)
        return INVALID if _any_invalid(found) else tuple(found)

    check.expected = "a list"
    return check


def record(make: Callable[..., Any], **fields: Field) -> Check:
    """Check for an object with these fields and no others.

    Args:
        make: Called with the checked fields when all of them are right.
        **fields: The fields by name.
    """

    def check(value: Any, path: str) -> Checked:
        if type(value) is not dict:
            yield WrongValue(path, check.expected, value)
            return INVALID
        prefix = f"{path}." if path else ""
        found = {}
        for key in value:
            if key not in fields:
                yield UnknownField(f"{prefix}{key}", ", ".join(fields))
                found[""] = INVALID
        for key, field in fields.items():
            unset = field.default is None and value.get(key, INVALID) is None
            if key in value and (field.required or not unset):
                found[key] = yield from field.check(value[key], f"{prefix}{key}")
            elif field.required:
                yield MissingField(f"{prefix}{key}", field.expected)
                found[key] = INVALID
            else:
                found[key] = field.default
        return INVALID if _any_invalid(found.values()) else make(**found)

    check.expected = "an object"
    return check


def refine(check: Check, more: Callable[[Any, str], Iterable[Fault]]) -> Check:
    """Check also what concerns several fields, once each of them is right."""

    def refined(value: Any, path: str) -> Checked:
        result = yield from check(value, path)
        if result is INVALID:
            return INVALID
        faults = list(more(result, path))
        yield from faults
        return INVALID if faults else result

    refined.expected = _describe(check)
    return refined


def run(check: Check, value: Any, title: str) -> Any:
    """Return the checked value.

    Raises:
        ExceptionGroup: Holds one ``Fault`` for everything wrong.
    """
    faults = []
    steps = check(value, "")
    while True:
        try:
            faults.append(next(steps))
        except StopIteration as stop:
            if faults:
                raise ExceptionGroup(title, faults) from None
            return stop.value

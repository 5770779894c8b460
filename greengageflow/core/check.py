"""Validation of JSON values that reports all errors at once.

A check is a generator function. It takes a value and its path, yields a ``Fault`` for
each error, and returns the checked value, or ``INVALID`` after an error. Checks nest:
``record`` and ``sequence`` yield the faults of the values they contain.
"""

import json
from collections.abc import Callable, Generator, Iterable
from dataclasses import dataclass
from typing import Any

INVALID: Any = object()
"""Returned by a check that has yielded a fault."""

_MAX_VALUE_LENGTH = 60


class Fault(ValueError):
    """One error in a JSON document.

    Args:
        path: Path of the value, such as ``seeds[0].port``.
        expected: Description of a valid value.
    """

    def __init__(self, path: str, expected: str) -> None:
        self.path = path or "document"
        self.expected = expected
        super().__init__(f"{self.path}: {self._text()}")

    def _text(self) -> str:
        return f"expected {self.expected}"


class MissingField(Fault):
    """A required field is missing."""

    def _text(self) -> str:
        return f"missing, expected {self.expected}"


class UnknownField(Fault):
    """A field has an unknown name; ``expected`` lists the valid names."""

    def _text(self) -> str:
        return f"unknown field, expected one of: {self.expected}"


class WrongValue(Fault):
    """A value has the wrong type or is out of range."""

    def __init__(self, path: str, expected: str, found: Any) -> None:
        self.found = found
        super().__init__(path, expected)

    def _text(self) -> str:
        return f"expected {self.expected}, found {_format_value(self.found)}"


Checked = Generator[Fault, None, Any]
Check = Callable[[Any, str], Checked]


@dataclass(frozen=True, slots=True)
class Field:
    """One field of a record.

    Args:
        check: Check for its value.
        expected: Description of a valid value, for the error when it is missing.
        required: Whether the field must be present.
        default: Value of an optional field that is not present.
    """

    check: Check
    expected: str
    required: bool = True
    default: Any = None


def required(check: Check) -> Field:
    """Return a required field."""
    return Field(check, _describe(check))


def optional(check: Check, default: Any = None) -> Field:
    """Return an optional field with a default."""
    return Field(check, _describe(check), False, default)


def _any_invalid(found: Iterable[Any]) -> bool:
    return any(part is INVALID for part in found)


def _describe(check: Check) -> str:
    return getattr(check, "expected", "a value")


def _format_value(value: Any) -> str:
    text = json.dumps(value, default=repr)
    return text if len(text) <= _MAX_VALUE_LENGTH else text[:_MAX_VALUE_LENGTH] + "…"


def scalar(
    expected: str, is_valid: Callable[[Any], bool], convert: Any = None
) -> Check:
    """Return a check for a scalar value.

    Args:
        expected: Description of a valid value.
        is_valid: Returns whether a value is valid.
        convert: Converts a valid value into the result of the check.
    """

    def quick(value: Any) -> Any:
        if not is_valid(value):
            return INVALID
        return value if convert is None else convert(value)

    def check(value: Any, path: str) -> Checked:
        result = quick(value)
        if result is INVALID:
            yield WrongValue(path, expected, value)
        return result

    check.expected = expected
    # Running a generator for each field would take half the time of checking a valid
    # record.
    check.quick = quick
    return check


def sequence(item: Check, *, unique: str = "") -> Check:
    """Return a check for a list, whose result is a tuple.

    Args:
        item: Check for each item.
        unique: Attribute that must differ between the checked items.
    """

    def check(value: Any, path: str) -> Checked:
        if type(value) is not list:
            yield WrongValue(path, check.expected, value)
            return INVALID
        found = []
        seen = set()
        for index, part in enumerate(value):
            item_path = f"{path}[{index}]"
            result = yield from item(part, item_path)
            key = getattr(result, unique, INVALID) if unique else INVALID
            if key is not INVALID and key in seen:
                yield WrongValue(
                    f"{item_path}.{unique}", "a value not used before", key
                )
                result = INVALID
            seen.add(key)
            found.append(result)
        return INVALID if _any_invalid(found) else tuple(found)

    check.expected = "a list"
    return check


def record(make: Callable[..., Any], **fields: Field) -> Check:
    """Return a check for an object with these fields and no others.

    Args:
        make: Called with the checked fields if all of them are valid.
        **fields: The fields by name.
    """
    quick = {key: getattr(field.check, "quick", None) for key, field in fields.items()}

    def check(value: Any, path: str) -> Checked:
        if type(value) is not dict:
            yield WrongValue(path, check.expected, value)
            return INVALID
        prefix = f"{path}." if path else ""
        found = {}
        faults = 0
        for key in (key for key in value if key not in fields):
            yield UnknownField(f"{prefix}{key}", ", ".join(fields))
            faults += 1
        for key, field in fields.items():
            result = _quick_value(field, value, key, quick[key])
            if result is INVALID:
                result = yield from _run_check(field, value, key, prefix)
                faults += result is INVALID
            found[key] = result
        return INVALID if faults else make(**found)

    check.expected = "an object"
    return check


def _quick_value(field: Field, value: dict[str, Any], key: str, quick: Any) -> Any:
    """Return the value of a field without a generator, or ``INVALID``.

    ``INVALID`` means that ``_run_check`` must look for faults.
    """
    if key not in value:
        return INVALID if field.required else field.default
    if value[key] is None and field.default is None and not field.required:
        return None
    return INVALID if quick is None else quick(value[key])


def _run_check(field: Field, value: dict[str, Any], key: str, prefix: str) -> Checked:
    if key in value:
        return (yield from field.check(value[key], f"{prefix}{key}"))
    yield MissingField(f"{prefix}{key}", field.expected)
    return INVALID


def refine(check: Check, cross_check: Callable[[Any, str], Iterable[Fault]]) -> Check:
    """Return ``check`` extended by a check across fields.

    ``cross_check`` is called only with a value that ``check`` found valid.
    """

    def refined(value: Any, path: str) -> Checked:
        result = yield from check(value, path)
        if result is INVALID:
            return INVALID
        faults = list(cross_check(result, path))
        yield from faults
        return INVALID if faults else result

    refined.expected = _describe(check)
    return refined


def run(check: Check, value: Any, title: str) -> Any:
    """Return the checked value.

    Raises:
        ExceptionGroup: Holds one ``Fault`` for each error.
    """
    faults = []
    generator = check(value, "")
    while True:
        try:
            faults.append(next(generator))
        except StopIteration as stop:
            if faults:
                raise ExceptionGroup(title, faults) from None
            return stop.value

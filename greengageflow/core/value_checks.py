"""Checks for scalar JSON values; see ``check``."""

import re
from collections.abc import Iterable
from ipaddress import ip_address
from typing import Any

from greengageflow.core.check import Check, scalar

# Python releases differ in whether ``ip_address`` accepts leading zeros, and routers
# on different releases must reach the same decision.
_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_IPV4 = re.compile(rf"{_OCTET}(\.{_OCTET}){{3}}")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")


def integer(low: int, high: int) -> Check:
    """Check for an integer from ``low`` to ``high``."""
    return scalar(
        f"a whole number from {low} to {high}",
        lambda value: type(value) is int and low <= value <= high,
    )


def number(low: float, high: float) -> Check:
    """Check for a number from ``low`` to ``high``; NaN is out of every range."""
    return scalar(
        f"a number from {low:g} to {high:g}",
        lambda value: type(value) in (int, float) and low <= value <= high,
        float,
    )


def boolean() -> Check:
    """Check for true or false."""
    return scalar("true or false", lambda value: type(value) is bool)


def string(limit: int = 256) -> Check:
    """Check for a string of 1 to ``limit`` characters."""
    return scalar(
        f"a text of 1 to {limit} characters",
        lambda value: type(value) is str and 1 <= len(value) <= limit,
    )


def matching(pattern: str, expected: str) -> Check:
    """Check for a string that fully matches ``pattern``."""
    compiled = re.compile(pattern)
    return scalar(
        expected,
        lambda value: type(value) is str and bool(compiled.fullmatch(value)),
    )


def name() -> Check:
    """Check for the name of an account, pool, endpoint or zone."""
    return scalar(
        "a name of 1 to 128 letters, digits and ._:/- that starts with a letter or"
        " digit",
        lambda value: type(value) is str and bool(_NAME.fullmatch(value)),
    )


def choice(options: Iterable[str], make: Any = None) -> Check:
    """Check for one of ``options``."""
    options = tuple(options)
    return scalar(
        "one of " + ", ".join(options),
        lambda value: type(value) is str and value in options,
        make,
    )


def _is_ip(value: Any) -> bool:
    if type(value) is not str or "%" in value:
        return False
    if ":" not in value:
        return bool(_IPV4.fullmatch(value))
    try:
        ip_address(value)
    except ValueError:
        return False
    return True


def ip_number() -> Check:
    """Check for an IP address; host names are not resolved."""
    return scalar("an IP number (not a host name)", _is_ip)

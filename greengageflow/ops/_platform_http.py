"""Blocking HTTP client of ``greengage-ctl`` for the log and the routers."""

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from http.client import HTTPException, HTTPResponse
from ipaddress import ip_address
from types import MappingProxyType
from typing import Any
from urllib.parse import quote, urlencode

from greengageflow.core.fold import CONFIG_STREAM
from greengageflow.core.log_records import LogRecord, OffsetTrimmed, Records
from greengageflow.net.blocking_http import BlockingConnection
from greengageflow.settings_file import Address

_TIMEOUT_S = 5.0
_PAGE_RECORDS = 50
_MAX_READ_ATTEMPTS = 3


class CallError(Exception):
    """A call failed or returned an unusable response.

    Args:
        message: Description of the failure, including the address.
        effect_unknown: True if the call may have taken effect despite the error.
        retry_after_s: Retry delay requested by the server, in seconds.
    """

    def __init__(
        self,
        message: str,
        *,
        effect_unknown: bool = False,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.effect_unknown = effect_unknown
        self.retry_after_s = retry_after_s


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    value: Any


def parse_address(text: str) -> Address:
    """Parse an address of the form ``ip:port``.

    Raises:
        ValueError: The text is not an IP address and a port.
    """
    ip, _, port = text.strip().rpartition(":")
    ip = ip.strip("[]")
    try:
        ip_address(ip)
        number = int(port)
    except ValueError:
        number = 0
    if not 0 < number < 65536:
        raise ValueError(f"expected IP:PORT, found {text!r}")
    return Address(ip, number)


def _call(
    address: Address,
    method: str,
    path: str,
    body: Any = None,
    headers: Mapping[str, str] = MappingProxyType({}),
) -> _Response:
    conn = BlockingConnection(address.ip, address.port, timeout=_TIMEOUT_S)
    sent = False
    try:
        conn.connect()
        sent = True
        data = None if body is None else json.dumps(body)
        all_headers = {"Content-Type": "application/json", **headers}
        conn.request(method, path, data, all_headers)
        response = conn.getresponse()
        return _parse_response(response, address)
    except (OSError, HTTPException) as exc:
        reason = str(exc) or type(exc).__name__
        raise CallError(f"{address}: {reason}", effect_unknown=sent) from None
    finally:
        conn.close()


def _parse_response(response: HTTPResponse, address: Address) -> _Response:
    data = response.read()
    try:
        value = json.loads(data)
    except (ValueError, RecursionError):
        value = None
    if response.status in (200, 410) and isinstance(value, Mapping):
        return _Response(response.status, value)
    retry_after = response.getheader("Retry-After", "")
    raise CallError(
        f"{address}: answered {response.status}{_error_text(value)}",
        effect_unknown=response.status == 200,
        retry_after_s=float(retry_after) if retry_after.isdigit() else None,
    )


def _error_text(value: Any) -> str:
    """Return the message of a router's error answer, after a colon, or nothing."""
    match value:
        case {"error": {"message": str(message)}} if message.isprintable():
            return f": {message}"
    return ""


class BlockingLog:
    """Blocking client of one stream of the platform's log.

    Args:
        address: Address of the log service.
        stream: Name of the stream.
    """

    def __init__(self, address: Address, stream: str = CONFIG_STREAM) -> None:
        self._address = address
        self._stream = stream

    def read(self, from_offset: int) -> Records | OffsetTrimmed:
        """Return one page of records starting at ``from_offset``.

        Raises:
            CallError: The log is unavailable or its response is invalid.
        """
        path = (
            f"/streams/{self._stream}/records?from={from_offset}&limit={_PAGE_RECORDS}"
        )
        response = self._get(path)
        value = response.value
        try:
            first, end = int(value["first_offset"]), int(value["next_offset"])
            if response.status == 410:
                return OffsetTrimmed(first, end)
            records = tuple(LogRecord(**item) for item in value["records"])
        except (KeyError, TypeError, ValueError) as exc:
            raise CallError(f"invalid response from the log: {exc!r}") from None
        return Records(records, first, end)

    def _get(self, path: str) -> _Response:
        for _ in range(_MAX_READ_ATTEMPTS - 1):
            try:
                return _call(self._address, "GET", path)
            except CallError as exc:
                # Retried only if the response was lost or unreadable. A refusal or an
                # outage is reported at once.
                if not exc.effect_unknown:
                    raise
        return _call(self._address, "GET", path)

    def append(self, records: Sequence[Any]) -> int:
        """Append records and return the offset of the first one.

        Raises:
            CallError: The log is unavailable or its response is invalid;
                ``effect_unknown`` tells whether the records may be in the log.
        """
        path = f"/streams/{self._stream}/records"
        response = _call(self._address, "POST", path, {"records": list(records)})
        try:
            return int(response.value["first_offset"])
        except (KeyError, TypeError, ValueError) as exc:
            message = f"invalid response from the log: {exc!r}"
            raise CallError(message, effect_unknown=True) from None


def router_status(address: Address, request: str = "") -> Mapping[str, Any]:
    """Return the status object of a router.

    Args:
        address: Address that callers connect to.
        request: Id of a request to include, or empty.

    Raises:
        CallError: The router is unreachable or its response is invalid.
    """
    query = f"?request={quote(request, safe='')}" if request else ""
    return _call(address, "GET", f"/status{query}").value


def explain_placement(
    address: Address, query: Mapping[str, str], key: str = ""
) -> Mapping[str, Any]:
    """Return a gateway's explanation where a request would go.

    Args:
        address: Address of its metrics listener.
        query: Description of the request.
        key: Account key, or empty. It is sent in a header, since URLs are logged.

    Raises:
        CallError: The gateway is unreachable, refuses, or its response is invalid.
    """
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    path = f"/placement?{urlencode(query)}"
    return _call(address, "GET", path, headers=headers).value

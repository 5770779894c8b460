"""Messages between routers as bytes (msgpack)."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from socket import AF_INET, inet_pton
from typing import Any

from msgpack import packb, unpackb

from greengageflow.core.endpoint_load import LoadShare
from greengageflow.core.fleet_sums import FleetTotals, SumReport
from greengageflow.core.peer_report import LoadNotice, PeerReport
from greengageflow.core.place_messages import PlaceMessage
from greengageflow.core.router_table import Hello
from greengageflow.net.place_codec import (
    ANSWER,
    ASK,
    NOTE,
    ROLL,
    answer_of,
    ask_of,
    note_of,
    place_values,
    roll_of,
)

REPORT, NOTICE, HELLO, SUM = 11, 12, 13, 14
"""First value of a message: its kind and the format that it is written in."""

_NEVER = -1.0
_MOST = 2.0**53

Message = PeerReport | LoadNotice | Hello | SumReport | PlaceMessage
AccountSums = Mapping[tuple[str, str], float]


class ReportError(ValueError):
    """A datagram is no message of these formats."""


def encode(message: Message) -> bytes:
    """Return a message as bytes."""
    match message:
        case PeerReport():
            return packb((REPORT, *_report_values(message)))
        case LoadNotice():
            return packb((NOTICE, *_notice_values(message)))
        case Hello():
            return packb((HELLO, *_hello_values(message)))
        case SumReport():
            return packb((SUM, *_sum_values(message)))
        case _:
            return packb(place_values(message))


def decode(data: bytes) -> Message:
    """Return the message in a datagram.

    Raises:
        ReportError: It is none; those of another version are none, too.
    """
    try:
        kind, *values = unpackb(data)
        return _MAKERS[kind](values)
    except Exception as exc:  # msgpack raises many kinds for bytes that are no message
        raise ReportError(repr(exc)) from exc


def _report_values(report: PeerReport) -> tuple[Any, ...]:
    return (
        report.host,
        report.boot,
        report.number,
        report.sequence,
        report.ip,
        report.port,
        report.zone,
        report.stopping,
        _by_service(report.served),
        _by_service(report.offered),
        _loads(report.loads),
        report.version,
        report.list_mark,
        _age(report.heard_s),
        _age(report.list_heard_s),
        report.placed,
        report.peers,
    )


def _report(values: list[Any]) -> PeerReport:
    (host, boot, number, sequence, ip, port, zone, stopping, *rest) = values
    (served, offered, loads, version, mark, heard_s, list_heard_s, placed, peers) = rest
    return PeerReport(
        host=str(host),
        boot=int(boot),
        number=int(number),
        sequence=int(sequence),
        ip=_ip(ip),
        port=_port(port),
        zone=str(zone),
        stopping=bool(stopping),
        served=_by_key(served),
        offered=_by_key(offered),
        loads=_shares(loads),
        version=int(version),
        list_mark=int(mark),
        heard_s=_seconds(heard_s),
        list_heard_s=_seconds(list_heard_s),
        placed=_pairs(placed),
        peers=_addresses(peers),
    )


def _notice_values(notice: LoadNotice) -> tuple[Any, ...]:
    return (
        notice.host,
        notice.boot,
        notice.number,
        notice.sequence,
        _loads(notice.loads),
        notice.placed,
    )


def _notice(values: list[Any]) -> LoadNotice:
    host, boot, number, sequence, loads, placed = values
    return LoadNotice(
        host=str(host),
        boot=int(boot),
        number=int(number),
        sequence=int(sequence),
        loads=_shares(loads),
        placed=_pairs(placed),
    )


def _hello_values(hello: Hello) -> tuple[Any, ...]:
    return (
        hello.host,
        hello.boot,
        hello.ip,
        hello.port,
        hello.zone,
        hello.stopping,
        hello.peers,
    )


def _hello(values: list[Any]) -> Hello:
    host, boot, ip, port, zone, stopping, peers = values
    return Hello(
        host=str(host),
        boot=int(boot),
        ip=_ip(ip),
        port=_port(port),
        zone=str(zone),
        stopping=bool(stopping),
        peers=_addresses(peers),
    )


def _sum_values(report: SumReport) -> tuple[Any, ...]:
    totals = report.totals
    return (
        report.host,
        report.boot,
        report.number,
        report.zone,
        report.whole,
        _by_service(totals.served),
        _by_service(totals.offered),
        _loads(totals.loads),
        totals.hosts,
        dict(report.counted),
        report.version,
        report.list_mark,
        _age(report.heard_s),
        _age(report.list_heard_s),
        report.placed,
    )


def _sum(values: list[Any]) -> SumReport:
    (host, boot, number, zone, whole, served, offered, loads, hosts, *rest) = values
    (counted, version, mark, heard_s, list_heard_s, placed) = rest
    return SumReport(
        host=str(host),
        boot=int(boot),
        number=int(number),
        zone=str(zone),
        whole=bool(whole),
        totals=FleetTotals(
            _by_key(served), _by_key(offered), _shares(loads), int(hosts)
        ),
        counted={str(name): int(sequence) for name, sequence in counted.items()},
        version=int(version),
        list_mark=int(mark),
        heard_s=_seconds(heard_s),
        list_heard_s=_seconds(list_heard_s),
        placed=_pairs(placed),
    )


def _by_service(work: AccountSums) -> dict[str, dict[str, int]]:
    sums: dict[str, dict[str, int]] = defaultdict(dict)
    for (service, account), amount in work.items():
        sums[service][account] = int(amount)
    return sums


def _by_key(sums: Mapping[Any, Mapping[Any, Any]]) -> dict[tuple[str, str], float]:
    return {
        (str(service), str(account)): _amount(amount)
        for service, accounts in sums.items()
        for account, amount in accounts.items()
    }


def _loads(loads: Mapping[str, LoadShare]) -> dict[str, tuple[int, int, int]]:
    return {
        name: (load.running, int(load.reading), int(load.memory))
        for name, load in loads.items()
    }


def _shares(loads: Mapping[Any, Any]) -> dict[str, LoadShare]:
    return {
        str(name): LoadShare(int(_amount(running)), _amount(reading), _amount(memory))
        for name, (running, reading, memory) in loads.items()
    }


def _amount(value: Any) -> float:
    # Sums that hold NaN or text would end each later round of this router.
    number = float(value)
    if not 0 <= number <= _MOST:
        raise ValueError(f"no amount: {value!r}")
    return number


def _pairs(pairs: list[Any]) -> tuple[tuple[str, str], ...]:
    return tuple((str(part), str(endpoint)) for part, endpoint in pairs)


def _addresses(rows: list[Any]) -> tuple[tuple[str, int], ...]:
    return tuple((_ip(ip), _port(port)) for ip, port in rows)


def _ip(value: Any) -> str:
    # A name would block the loop while it is looked up, and what is no address at
    # all raises in ``sendto``: the round would end before the other routers' turn.
    inet_pton(AF_INET, value)
    return value


def _port(value: Any) -> int:
    if not 0 < int(value) < 65536:
        raise ValueError(f"no port: {value!r}")
    return int(value)


def _age(seconds: float) -> float:
    return _NEVER if seconds == float("inf") else round(seconds, 3)


def _seconds(age: float) -> float:
    return float("inf") if age < 0 else float(age)


_MAKERS: dict[int, Callable[[list[Any]], Message]] = {
    REPORT: _report,
    NOTICE: _notice,
    HELLO: _hello,
    SUM: _sum,
    ASK: ask_of,
    ANSWER: answer_of,
    NOTE: note_of,
    ROLL: roll_of,
}

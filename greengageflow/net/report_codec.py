"""Encoding of the datagrams between routers (msgpack)."""

from collections.abc import Callable, Mapping
from typing import Any

from msgpack import packb, unpackb

from greengageflow.core.endpoint_load import LoadShare, load_shares
from greengageflow.core.fleet_sums import AccountKey, FleetTotals, SumReport
from greengageflow.core.keyed_record import KeyedRecord
from greengageflow.core.leaving_signs import LeavingReport
from greengageflow.core.peer_report import LoadNotice, PeerReport
from greengageflow.core.place_messages import PlacementMessage
from greengageflow.core.quarantine import CrashReport
from greengageflow.core.router_table import Hello
from greengageflow.core.store_updates import StoreTopic, StoreUpdate
from greengageflow.core.sum_changes import FullSumRequest, SumDelta, TableDelta, Work
from greengageflow.net._columns import (
    change_columns,
    check_amounts,
    check_names,
    load_columns,
    pack_addresses,
    pair_columns,
    read_addresses,
    read_changes,
    read_loads,
    read_pairs,
    read_places,
    read_work,
    work_columns,
)
from greengageflow.net.crash_codec import CRASHES, crash_values, crashes_of
from greengageflow.net.leaving_codec import LEAVING, leaving_of, leaving_values
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

REPORT, NOTICE, HELLO, SUM, CHANGES, WANTED, UPDATE = 21, 22, 23, 24, 25, 26, 27
"""First value of a message: the number of its type and format version."""

_NEVER = -1.0

Message = (
    PeerReport
    | LoadNotice
    | Hello
    | SumReport
    | SumDelta
    | FullSumRequest
    | StoreUpdate
    | CrashReport
    | LeavingReport
    | PlacementMessage
)


class ReportError(ValueError):
    """A datagram is not a message of a known type and format."""


def encode(message: Message) -> bytes:
    """Return the encoded message."""
    match message:
        case PeerReport():
            return packb((REPORT, *_report_values(message)))
        case LoadNotice():
            return packb((NOTICE, *_notice_values(message)))
        case Hello():
            return packb((HELLO, *_hello_values(message)))
        case SumReport():
            return packb((SUM, *_sum_values(message)))
        case SumDelta():
            return packb((CHANGES, *_changes_values(message)))
        case FullSumRequest():
            return packb((WANTED, message.fleet_wide))
        case StoreUpdate():
            return packb((UPDATE, *_update_values(message)))
        case CrashReport():
            return packb(crash_values(message))
        case LeavingReport():
            return packb(leaving_values(message))
        case _:
            return packb(place_values(message))


def decode(data: bytes) -> Message:
    """Return the message encoded in a datagram.

    Raises:
        ReportError: It is malformed, or its format version is not supported.
    """
    try:
        kind, *values = unpackb(data)
        return _MAKERS[kind](values)
    except Exception as exc:  # msgpack raises many types for malformed data
        raise ReportError(repr(exc)) from exc


def _report_values(report: PeerReport) -> tuple[Any, ...]:
    return (
        report.host,
        report.boot,
        report.number,
        report.sequence,
        pack_addresses((report.address,)),
        report.zone,
        report.stopping,
        work_columns(report.served, report.offered, ordered=True),
        load_columns(report.loads),
        report.version,
        report.list_mark,
        _age(report.config_age_s),
        _age(report.list_age_s),
        pair_columns(report.placed),
        pack_addresses(report.peers),
    )


def _report(values: list[Any]) -> PeerReport:
    (host, boot, number, sequence, address, zone, stopping, work, *rest) = values
    (loads, version, mark, heard_s, list_heard_s, placed, peers) = rest
    ((ip, port),) = read_addresses(address)
    served, offered = read_work(work)
    return PeerReport(
        host=str(host),
        boot=int(boot),
        number=int(number),
        sequence=int(sequence),
        ip=ip,
        port=port,
        zone=str(zone),
        stopping=bool(stopping),
        served=served,
        offered=offered,
        loads=read_loads(loads),
        version=int(version),
        list_mark=int(mark),
        config_age_s=_seconds(heard_s),
        list_age_s=_seconds(list_heard_s),
        placed=read_pairs(placed),
        peers=read_addresses(peers),
    )


def _notice_values(notice: LoadNotice) -> tuple[Any, ...]:
    return (
        notice.host,
        notice.boot,
        notice.number,
        notice.sequence,
        load_columns(notice.loads),
        pair_columns(notice.placed),
    )


def _notice(values: list[Any]) -> LoadNotice:
    host, boot, number, sequence, loads, placed = values
    return LoadNotice(
        host=str(host),
        boot=int(boot),
        number=int(number),
        sequence=int(sequence),
        loads=read_loads(loads),
        placed=read_pairs(placed),
    )


def _hello_values(hello: Hello) -> tuple[Any, ...]:
    return (
        hello.host,
        hello.boot,
        pack_addresses((hello.address,)),
        hello.zone,
        hello.stopping,
        pack_addresses(hello.peers),
    )


def _hello(values: list[Any]) -> Hello:
    host, boot, address, zone, stopping, peers = values
    ((ip, port),) = read_addresses(address)
    return Hello(
        host=str(host),
        boot=int(boot),
        ip=ip,
        port=port,
        zone=str(zone),
        stopping=bool(stopping),
        peers=read_addresses(peers),
    )


def _sum_values(report: SumReport) -> tuple[Any, ...]:
    totals = report.totals
    return (
        report.host,
        report.boot,
        report.number,
        report.base,
        report.zone,
        report.fleet_wide,
        work_columns(totals.served, totals.offered),
        load_columns(totals.loads),
        totals.hosts,
        dict(report.included),
        report.version,
        report.list_mark,
        _age(report.config_age_s),
        _age(report.list_age_s),
        pair_columns(report.placed),
    )


def _sum(values: list[Any]) -> SumReport:
    (host, boot, number, base, zone, whole, work, loads, hosts, counted, *rest) = values
    (version, mark, heard_s, list_heard_s, placed) = rest
    check_names(counted)
    check_amounts(list(counted.values()))
    return SumReport(
        host=str(host),
        boot=int(boot),
        number=int(number),
        base=int(base),
        zone=str(zone),
        fleet_wide=bool(whole),
        totals=FleetTotals(*read_work(work), read_loads(loads), int(hosts)),
        included=counted,
        version=int(version),
        list_mark=int(mark),
        config_age_s=_seconds(heard_s),
        list_age_s=_seconds(list_heard_s),
        placed=read_pairs(placed),
    )


def _changes_values(changes: SumDelta) -> tuple[Any, ...]:
    loads, counted, work = changes.loads, changes.included, changes.work
    return (
        changes.host,
        changes.boot,
        changes.number,
        changes.fleet_wide,
        changes.base,
        (
            loads.since,
            loads.first_index,
            loads.new_keys,
            *change_columns(loads.values, 3),
        ),
        (
            counted.since,
            counted.first_index,
            counted.new_keys,
            list(counted.values),
            list(counted.values.values()),
        ),
        work and _work_values(work),
        changes.hosts,
        changes.version,
        changes.list_mark,
        _age(changes.config_age_s),
        _age(changes.list_age_s),
        pair_columns(changes.placed),
    )


def _columns_of(values: Mapping[int, int]) -> tuple[list[int], list[int]]:
    return list(values), list(values.values())


def _work_values(work: TableDelta[AccountKey, Work]) -> tuple[Any, ...]:
    columns = change_columns(work.values, 2)
    return (work.since, work.first_index, pair_columns(work.new_keys), *columns)


def _changes(values: list[Any]) -> SumDelta:
    (host, boot, number, whole, base, loads, counted, work, hosts, *rest) = values
    (version, mark, heard_s, list_heard_s, placed) = rest
    return SumDelta(
        host=str(host),
        boot=int(boot),
        number=int(number),
        fleet_wide=bool(whole),
        base=int(base),
        loads=_load_changes(*loads),
        included=_counted_changes(*counted),
        work=None if work is None else _work_changes(*work),
        hosts=int(hosts),
        version=int(version),
        list_mark=int(mark),
        config_age_s=_seconds(heard_s),
        list_age_s=_seconds(list_heard_s),
        placed=read_places(placed),
    )


def _load_changes(*values: Any) -> TableDelta[str, LoadShare]:
    after, start, new, *columns = values
    check_names(new)
    changed = read_changes(columns, 3)
    rows = dict(zip(changed, load_shares(changed.values()), strict=True))
    return TableDelta(
        since=int(after), first_index=_place(start), new_keys=tuple(new), values=rows
    )


def _counted_changes(*values: Any) -> TableDelta[str, int]:
    after, start, new, *columns = values
    check_names(new)
    rows = {place: row[0] for place, row in read_changes(columns, 1).items()}
    return TableDelta(
        since=int(after), first_index=_place(start), new_keys=tuple(new), values=rows
    )


def _work_changes(*values: Any) -> TableDelta[AccountKey, Work]:
    after, start, new, *columns = values
    rows = read_changes(columns, 2)
    new = read_pairs(new)
    return TableDelta(
        since=int(after), first_index=_place(start), new_keys=new, values=rows
    )


def _place(value: Any) -> int:
    if int(value) < 0:
        raise ValueError(f"negative index or offset: {value!r}")
    return int(value)


def _wanted(values: list[Any]) -> FullSumRequest:
    (whole,) = values
    return FullSumRequest(fleet_wide=bool(whole))


def _update_values(update: StoreUpdate) -> tuple[Any, ...]:
    records = tuple((row.key, row.value, row.offset) for row in update.records)
    return (int(update.topic), update.since, update.end, records)


def _update(values: list[Any]) -> StoreUpdate:
    topic, since, end, records = values
    return StoreUpdate(
        topic=StoreTopic(topic),
        since=_place(since),
        end=_place(end),
        records=tuple(_record(*row) for row in records),
    )


def _record(key: Any, value: Any, offset: Any) -> KeyedRecord:
    check_names((key,))
    if not isinstance(value, bytes | None):
        raise ValueError(f"record value is neither bytes nor None: {value!r}")
    return KeyedRecord(key, value, _place(offset))


def _age(seconds: float) -> float:
    return _NEVER if seconds == float("inf") else round(seconds, 3)


def _seconds(age: float) -> float:
    return float("inf") if age < 0 else float(age)


_MAKERS: dict[int, Callable[[list[Any]], Message]] = {
    REPORT: _report,
    NOTICE: _notice,
    HELLO: _hello,
    SUM: _sum,
    CHANGES: _changes,
    WANTED: _wanted,
    UPDATE: _update,
    CRASHES: crashes_of,
    LEAVING: leaving_of,
    ASK: ask_of,
    ANSWER: answer_of,
    NOTE: note_of,
    ROLL: roll_of,
}

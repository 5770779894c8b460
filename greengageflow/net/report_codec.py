"""Encoding of the datagrams between routers (msgpack)."""

from collections.abc import Callable, Mapping
from typing import Any

from msgpack import packb, unpackb

from greengageflow.core.endpoint_load import LoadShare, load_shares
from greengageflow.core.evacuation import EvacuationReport
from greengageflow.core.fleet_sums import AccountKey, FleetTotals, SumReport
from greengageflow.core.keyed_record import KeyedRecord
from greengageflow.core.leaving_report import LeavingReport
from greengageflow.core.peer_report import LoadNotice, PeerReport
from greengageflow.core.place_messages import PlacementMessage
from greengageflow.core.quarantine import CrashReport
from greengageflow.core.router_table import Hello
from greengageflow.core.start_report import StartTimesReport
from greengageflow.core.store_updates import StoreTopic, StoreUpdate
from greengageflow.core.sum_changes import FullSumRequest, SumDelta, TableDelta, Work
from greengageflow.core.tick_echo import ClockTick
from greengageflow.core.unproven_starts import (
    UnprovenStartQuery,
    UnprovenStartReport,
)
from greengageflow.core.version_affinity import (
    StreamVersionQuery,
    StreamVersionReport,
)
from greengageflow.net._columns import (
    check_counts,
    check_names,
    delta_columns,
    load_columns,
    pack_addresses,
    pair_columns,
    read_addresses,
    read_delta,
    read_index_pairs,
    read_loads,
    read_pairs,
    read_work,
    work_columns,
)
from greengageflow.net.crash_codec import (
    CRASH_REPORT,
    PART_CRASH_REPORT,
    crash_report_values,
    parse_crash_report,
    parse_part_crash_report,
)
from greengageflow.net.evacuation_codec import (
    EVACUATION_REPORT,
    evacuation_report_values,
    parse_evacuation_report,
)
from greengageflow.net.leaving_codec import (
    LEAVING_REPORT,
    leaving_report_values,
    parse_leaving_report,
)
from greengageflow.net.placement_codec import (
    PLACEMENT_ANSWER,
    PLACEMENT_EVENT,
    PLACEMENT_REQUEST,
    PLACEMENT_SNAPSHOT,
    parse_placement_answer,
    parse_placement_event,
    parse_placement_request,
    parse_placement_snapshot,
    placement_values,
)
from greengageflow.net.start_codec import (
    START_TIMES_REPORT,
    UNPROVEN_START_QUERY,
    UNPROVEN_START_REPORT,
    parse_start_query,
    parse_start_report,
    parse_start_times_report,
    start_query_values,
    start_report_values,
)
from greengageflow.net.tick_codec import (
    CLOCK_TICK,
    clock_tick_values,
    parse_clock_tick,
)
from greengageflow.net.version_codec import (
    STREAM_VERSION_QUERY,
    STREAM_VERSION_REPORT,
    parse_version_query,
    parse_version_report,
    version_query_values,
    version_report_values,
)

(
    PEER_REPORT,
    LOAD_NOTICE,
    HELLO,
    SUM_REPORT,
    SUM_DELTA,
    FULL_SUM_REQUEST,
    STORE_UPDATE,
) = 21, 22, 23, 24, 25, 26, 27
"""First value of a message: the number of its type and format version."""

_INFINITE_AGE = -1.0

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
    | StartTimesReport
    | EvacuationReport
    | StreamVersionReport
    | StreamVersionQuery
    | UnprovenStartQuery
    | UnprovenStartReport
    | ClockTick
    | PlacementMessage
)


class ReportError(ValueError):
    """A datagram is not a message of a known type and format."""


def encode(message: Message) -> bytes:
    """Return the encoded message."""
    match message:
        case PeerReport():
            return packb((PEER_REPORT, *_report_values(message)))
        case LoadNotice():
            return packb((LOAD_NOTICE, *_notice_values(message)))
        case Hello():
            return packb((HELLO, *_hello_values(message)))
        case SumReport():
            return packb((SUM_REPORT, *_sum_values(message)))
        case SumDelta():
            return packb((SUM_DELTA, *_delta_values(message)))
        case FullSumRequest():
            return packb((FULL_SUM_REQUEST, message.fleet_wide))
        case StoreUpdate():
            return packb((STORE_UPDATE, *_update_values(message)))
        case CrashReport():
            return packb(crash_report_values(message))
        case LeavingReport():
            return packb(leaving_report_values(message))
        case StartTimesReport():
            return packb((START_TIMES_REPORT, *message.services))
        case EvacuationReport():
            return packb(evacuation_report_values(message))
        case StreamVersionReport():
            return packb(version_report_values(message))
        case StreamVersionQuery():
            return packb(version_query_values(message))
        case UnprovenStartQuery():
            return packb(start_query_values(message))
        case UnprovenStartReport():
            return packb(start_report_values(message))
        case ClockTick():
            return packb(clock_tick_values(message))
        case _:
            return packb(placement_values(message))


def decode(data: bytes) -> Message:
    """Return the message encoded in a datagram.

    Raises:
        ReportError: It is malformed, or its format version is not supported.
    """
    try:
        type_number, *values = unpackb(data)
        return _PARSERS[type_number](values)
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
        _pack_age(report.config_age_s),
        _pack_age(report.list_age_s),
        pair_columns(report.placed),
        pack_addresses(report.peers),
    )


def _parse_report(values: list[Any]) -> PeerReport:
    (host, boot, number, sequence, address, zone, stopping, work, *rest) = values
    (loads, version, list_mark, config_age_s, list_age_s, placed, peers) = rest
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
        list_mark=int(list_mark),
        config_age_s=_unpack_age(config_age_s),
        list_age_s=_unpack_age(list_age_s),
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


def _parse_notice(values: list[Any]) -> LoadNotice:
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


def _parse_hello(values: list[Any]) -> Hello:
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
        _pack_age(report.config_age_s),
        _pack_age(report.list_age_s),
        pair_columns(report.placed),
    )


def _parse_sum(values: list[Any]) -> SumReport:
    (
        host,
        boot,
        number,
        base,
        zone,
        fleet_wide,
        work,
        loads,
        hosts,
        included,
        *rest,
    ) = values
    (version, list_mark, config_age_s, list_age_s, placed) = rest
    check_names(included)
    check_counts(list(included.values()))
    return SumReport(
        host=str(host),
        boot=int(boot),
        number=int(number),
        base=int(base),
        zone=str(zone),
        fleet_wide=bool(fleet_wide),
        totals=FleetTotals(*read_work(work), read_loads(loads), int(hosts)),
        included=included,
        version=int(version),
        list_mark=int(list_mark),
        config_age_s=_unpack_age(config_age_s),
        list_age_s=_unpack_age(list_age_s),
        placed=read_pairs(placed),
    )


def _delta_values(delta: SumDelta) -> tuple[Any, ...]:
    loads, included, work = delta.loads, delta.included, delta.work
    return (
        delta.host,
        delta.boot,
        delta.number,
        delta.fleet_wide,
        delta.base,
        (
            loads.since,
            loads.first_index,
            loads.new_keys,
            *delta_columns(loads.values, 3),
        ),
        (
            included.since,
            included.first_index,
            included.new_keys,
            list(included.values),
            list(included.values.values()),
        ),
        work and _work_delta_values(work),
        delta.hosts,
        delta.version,
        delta.list_mark,
        _pack_age(delta.config_age_s),
        _pack_age(delta.list_age_s),
        pair_columns(delta.placed),
    )


def _columns_of(values: Mapping[int, int]) -> tuple[list[int], list[int]]:
    return list(values), list(values.values())


def _work_delta_values(work: TableDelta[AccountKey, Work]) -> tuple[Any, ...]:
    columns = delta_columns(work.values, 2)
    return (work.since, work.first_index, pair_columns(work.new_keys), *columns)


def _parse_delta(values: list[Any]) -> SumDelta:
    (host, boot, number, fleet_wide, base, loads, included, work, hosts, *rest) = values
    (version, list_mark, config_age_s, list_age_s, placed) = rest
    return SumDelta(
        host=str(host),
        boot=int(boot),
        number=int(number),
        fleet_wide=bool(fleet_wide),
        base=int(base),
        loads=_parse_load_delta(*loads),
        included=_parse_included_delta(*included),
        work=None if work is None else _parse_work_delta(*work),
        hosts=int(hosts),
        version=int(version),
        list_mark=int(list_mark),
        config_age_s=_unpack_age(config_age_s),
        list_age_s=_unpack_age(list_age_s),
        placed=read_index_pairs(placed),
    )


def _parse_load_delta(*values: Any) -> TableDelta[str, LoadShare]:
    since, first_index, new_keys, *columns = values
    check_names(new_keys)
    changed = read_delta(columns, 3)
    rows = dict(zip(changed, load_shares(changed.values()), strict=True))
    return TableDelta(
        since=int(since),
        first_index=_non_negative(first_index),
        new_keys=tuple(new_keys),
        values=rows,
    )


def _parse_included_delta(*values: Any) -> TableDelta[str, int]:
    since, first_index, new_keys, *columns = values
    check_names(new_keys)
    rows = {index: row[0] for index, row in read_delta(columns, 1).items()}
    return TableDelta(
        since=int(since),
        first_index=_non_negative(first_index),
        new_keys=tuple(new_keys),
        values=rows,
    )


def _parse_work_delta(*values: Any) -> TableDelta[AccountKey, Work]:
    since, first_index, new_keys, *columns = values
    rows = read_delta(columns, 2)
    new_keys = read_pairs(new_keys)
    return TableDelta(
        since=int(since),
        first_index=_non_negative(first_index),
        new_keys=new_keys,
        values=rows,
    )


def _non_negative(value: Any) -> int:
    if int(value) < 0:
        raise ValueError(f"negative index or offset: {value!r}")
    return int(value)


def _parse_full_sum_request(values: list[Any]) -> FullSumRequest:
    (fleet_wide,) = values
    return FullSumRequest(fleet_wide=bool(fleet_wide))


def _update_values(update: StoreUpdate) -> tuple[Any, ...]:
    records = tuple((row.key, row.value, row.offset) for row in update.records)
    return (int(update.topic), update.since, update.end, records)


def _parse_update(values: list[Any]) -> StoreUpdate:
    topic, since, end, records = values
    return StoreUpdate(
        topic=StoreTopic(topic),
        since=_non_negative(since),
        end=_non_negative(end),
        records=tuple(_parse_record(*row) for row in records),
    )


def _parse_record(key: Any, value: Any, offset: Any) -> KeyedRecord:
    check_names((key,))
    if not isinstance(value, bytes | None):
        raise ValueError(f"record value is neither bytes nor None: {value!r}")
    return KeyedRecord(key, value, _non_negative(offset))


def _pack_age(seconds: float) -> float:
    return _INFINITE_AGE if seconds == float("inf") else round(seconds, 3)


def _unpack_age(age: float) -> float:
    return float("inf") if age < 0 else float(age)


_PARSERS: dict[int, Callable[[list[Any]], Message]] = {
    PEER_REPORT: _parse_report,
    LOAD_NOTICE: _parse_notice,
    HELLO: _parse_hello,
    SUM_REPORT: _parse_sum,
    SUM_DELTA: _parse_delta,
    FULL_SUM_REQUEST: _parse_full_sum_request,
    STORE_UPDATE: _parse_update,
    CRASH_REPORT: parse_crash_report,
    PART_CRASH_REPORT: parse_part_crash_report,
    LEAVING_REPORT: parse_leaving_report,
    START_TIMES_REPORT: parse_start_times_report,
    EVACUATION_REPORT: parse_evacuation_report,
    STREAM_VERSION_REPORT: parse_version_report,
    STREAM_VERSION_QUERY: parse_version_query,
    UNPROVEN_START_QUERY: parse_start_query,
    UNPROVEN_START_REPORT: parse_start_report,
    CLOCK_TICK: parse_clock_tick,
    PLACEMENT_REQUEST: parse_placement_request,
    PLACEMENT_ANSWER: parse_placement_answer,
    PLACEMENT_EVENT: parse_placement_event,
    PLACEMENT_SNAPSHOT: parse_placement_snapshot,
}

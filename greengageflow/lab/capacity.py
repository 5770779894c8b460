"""Generates docs/CAPACITY.md from the saved measurements."""

from collections.abc import Iterator, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

from greengageflow.lab._capacity_gateway import gateway_part
from greengageflow.lab._capacity_rows import (
    BUDGET_BYTES_PER_S,
    BUDGET_CPU_US_PER_S,
    BUDGET_MEMORY_BYTES,
    Row,
    Size,
    Slopes,
    rows_at,
    total,
)
from greengageflow.lab._capacity_sweep import sweep_part
from greengageflow.lab._capacity_text import (
    ASSUMPTIONS,
    HEAD,
    LEFT_OUT,
    MEASURED,
    MISFITS,
    SIXTY,
)
from greengageflow.lab._processes import ROOT
from greengageflow.lab.slopes import load

PAGE_PATH = ROOT / "docs" / "CAPACITY.md"
_COLUMNS = (
    "| role | mechanism | state MB | messages/s | out KB/s | in KB/s | core % |\n"
    "| --- | --- | --- | --- | --- | --- | --- |"
)


def page(document: Mapping[str, Any]) -> str:
    """Return the text of the page for a saved slopes document."""
    parts = [
        *sweep_part(),
        *gateway_part(),
        HEAD.format(**_origin(document)),
        *_assumptions(Size()),
        *_table(document, Size()),
        *_budget(document),
        *_protected(document),
        *_changes(document),
        *_events(document),
        MISFITS,
        *_sixty(document),
        MEASURED,
        *_slopes(document["slopes"]),
        LEFT_OUT,
    ]
    return "\n".join(parts)


def write_page(path: Path = PAGE_PATH) -> None:
    """Generate the page from the saved slopes and write it."""
    path.write_text(page(load()))


def _origin(document: Mapping[str, Any]) -> dict[str, Any]:
    loads = [entry["load"] for entry in document["slopes"].values()]
    return {
        "date": document["date"],
        "seed": document["seed"],
        "processors": document["processors"],
        "low": min(loads),
        "high": max(loads),
    }


def _assumptions(size: Size) -> Iterator[str]:
    yield ASSUMPTIONS.format(
        size=size,
        tokens=size.tokens / size.requests,
        answer=size.answer_s,
        rate=size.node_requests,
        flight=size.in_flight,
        busy=size.busy_accounts,
    )


def _table(document: Mapping[str, Any], size: Size) -> Iterator[str]:
    rows = rows_at(Slopes(document["slopes"]), size)
    busiest = [row.at_busiest for row in rows]
    yield "## One node, by role\n"
    yield "Mean node:\n"
    yield _COLUMNS
    yield from (_line(row) for row in [*rows, total(rows, "**all**")])
    yield "\nA node that is the busiest in every role at once (none is):\n"
    yield _COLUMNS
    yield from (_line(row) for row in [*busiest, total(busiest, "**all**")])
    yield ""


def _line(row: Row) -> str:
    cells = (
        f"{row.memory / 1e6:.2f}",
        f"{row.messages:.1f}",
        f"{row.out / 1000:.2f}",
        f"{row.taken / 1000:.2f}",
        f"{row.cpu / 1e4:.3f}",
    )
    return f"| {row.role} | {row.mechanism} | {' | '.join(cells)} |"


def _budget(document: Mapping[str, Any]) -> Iterator[str]:
    rows = rows_at(Slopes(document["slopes"]), Size())
    mean, busiest = total(rows, ""), total([row.at_busiest for row in rows], "")
    yield "## Against the budget\n"
    yield "| a node spends | budget | mean | busiest | fits |"
    yield "| --- | --- | --- | --- | --- |"
    for name, budget, mean_value, busiest_value, unit, scale in (
        (
            "processor time",
            BUDGET_CPU_US_PER_S,
            mean.cpu,
            busiest.cpu,
            "% of a core",
            1e4,
        ),
        ("memory", BUDGET_MEMORY_BYTES, mean.memory, busiest.memory, "MB", 1e6),
        ("bytes sent", BUDGET_BYTES_PER_S, mean.out, busiest.out, "KB/s", 1e3),
        ("bytes received", BUDGET_BYTES_PER_S, mean.taken, busiest.taken, "KB/s", 1e3),
        (
            "bytes sent and received",
            BUDGET_BYTES_PER_S,
            mean.out + mean.taken,
            busiest.out + busiest.taken,
            "KB/s",
            1e3,
        ),
    ):
        verdict = _verdict(mean_value, busiest_value, budget)
        yield (
            f"| {name} | {budget / scale:.0f} {unit} | {mean_value / scale:.1f} |"
            f" {busiest_value / scale:.1f} | {verdict} |"
        )
    yield ""


def _verdict(mean: float, busiest: float, budget: float) -> str:
    if busiest <= budget:
        return "yes"
    return "mean yes, busiest **no**" if mean <= budget else "**no**"


def _protected(document: Mapping[str, Any]) -> Iterator[str]:
    s = Slopes(document["slopes"])
    yield "## Protected actions, by their share p of the requests\n"
    yield (
        "Appends a second: `min(16 streams x 10, 2 x 2700 p)`; keys a writer holds per"
        " stream: `2700 p x 600 s / 16`.\n"
    )
    yield "| p | actions/s | appends/s | keys a stream | MB | core % | out KB/s |"
    yield "| --- | --- | --- | --- | --- | --- | --- |"
    for share in (0.01, 0.1):
        size = replace(Size(), protected=share)
        writer = rows_at(s, size)[-2].at_busiest
        yield (
            f"| {share:.0%} | {size.requests * share:.0f} | {size.appends:.0f} |"
            f" {size.keys_per_stream:.0f} | {writer.memory / 1e6:.1f} |"
            f" {writer.cpu / 1e4:.2f} | {writer.out / 1000:.1f} |"
        )
    yield (
        "\nThe last three are of a router that writes two streams. All other appends:"
        " 540 changes and 144 snapshots of the configuration a day, and one claim an"
        " order; below one a minute. Budget: several hundred appends a second.\n"
    )


def _changes(document: Mapping[str, Any]) -> Iterator[str]:
    s = Slopes(document["slopes"])
    propagation_s = s.outcomes("membership/members told/seconds")
    fold_ms = s.predict("configuration/endpoints/fold_us", 600) / 1000
    take_over_ms = s.predict("configuration/endpoints/take_over_us", 600) / 1000
    state_kb = s.predict("configuration/endpoints/state_bytes", 600) / 1000
    pack_ms = s.predict("configuration/endpoints/pack_us", 600) / 1000
    yield "## A change of configuration: in force everywhere within 12 s\n"
    yield "| step | seconds |"
    yield "| --- | --- |"
    yield "| the readers' long poll answers, or starts within the 0.1 s pause | 0.1 |"
    yield (
        f"| fold {fold_ms:.0f} ms, take over {take_over_ms:.0f} ms |"
        f" {(fold_ms + take_over_ms) / 1e3:.2f} |"
    )
    yield (
        f"| all 360 have heard of it by probes, 0.2 s for each fetch (simulated,"
        f" {', '.join(f'{y:.1f}' for y in propagation_s)} s at 45 to 360) |"
        f" {propagation_s[-1]:.1f} |"
    )
    total_s = 0.1 + (fold_ms + take_over_ms) / 1e3 + propagation_s[-1]
    yield f"| **sum** | **{total_s:.1f}** of 12 |"
    yield (
        f"\nOne state is {state_kb:.1f} KB packed ({pack_ms:.0f} ms once a change and"
        " teller). A teller has 18 neighbours in the ring; if all ask it within one"
        f" second, that second sends {18 * state_kb:.0f} KB. A reader that is out"
        " stands for 10 s at most (`config_poll_s`), a router cut off from peers and"
        " log stays behind until it is back.\n"
    )


def _events(document: Mapping[str, Any]) -> Iterator[str]:
    events = document.get("events")
    s = Slopes(document["slopes"])
    crash_out_kb = s.predict("membership/routers lost/bytes_out", 1) / 1000
    member_lost_ms = s.predict("view/members/member_lost_us", 360) / 1000
    roster_change_ms = s.predict("view/members/roster_changed_us", 360) / 1000
    first_view_ms = s.predict("view/members/first_us", 360) / 1000
    yield "## What happens to hosts\n"
    yield "| event | how often | cost a node |"
    yield "| --- | --- | --- |"
    yield (
        f"| host fails | 8 a day | {crash_out_kb:.1f} KB sent over 20 s, a view change"
        f" of {member_lost_ms:.1f} ms, later a change of the roster of"
        f" {roster_change_ms:.0f} ms |"
    )
    yield (
        "| restart | 52 a day | the same three changes of the view (stopping, gone,"
        f" back); the restarted one places everything anew, {first_view_ms:.0f} ms"
        " once |"
    )
    if events:
        zone, partition = events["lost_zone"], events["regions_apart"]
        yield (
            f"| zone lost | a few a year | {zone['lost']} of 360 at once: all agree"
            f" after {zone['seconds']:.1f} s; worst second of any router"
            f" {zone['worst'] / 1000:.1f} KB; {zone['lost']} changes of the view at"
            f" most, {zone['lost'] * member_lost_ms / 1000:.1f} s of processor time"
            " within it |"
        )
        yield (
            "| regions apart | an hour now and then | worst second"
            f" {partition['worst_apart'] / 1000:.1f} KB while apart,"
            f" {partition['worst_rejoin'] / 1000:.1f} KB when they meet again; one view"
            f" {partition['seconds']:.0f} s after ({partition['agreed']}) |"
        )
    yield (
        "\nApart, each region grants the slots that its own hosts bear (205 and 155 of"
        " 360), and each counts service alone; when they meet, the sums are merged."
        " Requests of a lost zone's callers go through other zones: 2,700/s over 308"
        " nodes is 8.8/s a node, 17% more on each row per request.\n"
    )


def _sixty(document: Mapping[str, Any]) -> Iterator[str]:
    rows = document.get("sixty")
    yield "## Sixty real routers\n"
    if not rows:
        yield "Not run yet.\n"
        return
    yield SIXTY
    yield (
        "| routers | load average | requests/s, whole | messages out: measured,"
        " expected | error | KB/s out: measured, expected | error |"
    )
    yield "| --- | --- | --- | --- | --- | --- | --- |"
    for row in rows:
        yield (
            f"| {row['routers']} | {row['load']:.1f} | {row['requests_per_s']:.0f},"
            f" {row['whole']} of {row['answers']} |"
            f" {row['messages']:.1f}, {row['messages_expected']:.1f} |"
            f" {row['messages'] / row['messages_expected'] - 1:+.0%} |"
            f" {row['bytes'] / 1e3:.2f}, {row['bytes_expected'] / 1e3:.2f} |"
            f" {row['bytes'] / row['bytes_expected'] - 1:+.0%} |"
        )
    yield "\n| routers | quiet: KB/s out | quiet: core % | loaded: core % | MB |"
    yield "| --- | --- | --- | --- | --- |"
    for row in rows:
        yield (
            f"| {row['routers']} | {row['quiet_bytes'] / 1e3:.2f} |"
            f" {row['quiet_cpu'] / 1e4:.2f} | {row['cpu'] / 1e4:.1f}, control expected"
            f" {row['cpu_expected'] / 1e4:.1f} | {row['rss_mb']:.1f} |"
        )
    yield ""


def _slopes(slopes: Mapping[str, Mapping[str, Any]]) -> Iterator[str]:
    yield "| role/driver/outcome | points | slope | residual |"
    yield "| --- | --- | --- | --- |"
    for name in sorted(slopes):
        entry = slopes[name]
        points = "; ".join(f"{x:g}: {y:.4g}" for x, y in entry["points"])
        slope, residual = entry["slope"], entry["residual"]
        yield f"| {name} | {points} | {slope:.4g} | {residual:.3g} |"
    yield ""

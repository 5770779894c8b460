"""Human-readable messages for decision log lines."""

from collections import defaultdict

from greengageflow.net.decision_events import DecisionEvent as Event
from greengageflow.ops.decision_lines import DecisionLine

MESSAGE_TEMPLATES = {
    Event.PLACED: "placed at {endpoint} for another host: begins in {wait_ms} ms,"
    " likely duration {duration_ms} ms, slowness {slowness}, {cached} prompt tokens"
    " cached, cost {cost}, of the next best {next_cost}",
    Event.SENT: "sent to {endpoint}: {reading} of {prompt} prompt tokens to read,"
    " predicted wait {predicted_ms} ms, {queued} queued there, account {account} at"
    " level {level}, reports {report_age_ms} ms old, configuration {config}",
    Event.REFUSED: "refused, {why} ({text}), retry after {retry_after_ms} ms:"
    " waited {waited_ms} ms, {queued} queued, account {account} at level {level},"
    " reports {report_age_ms} ms old, configuration {config}",
    Event.RETRIED: "retried from {before} to {endpoint}: {why}",
    Event.RESUMED: "resumed from {before} on {endpoint} after {pieces} pieces: {why}",
    Event.FINISHED: "finished with {status} from {endpoint}: first byte after"
    " {first_ms} ms, end after {total_ms} ms",
    Event.FINISHED_LATE: "finished late with {status} from {endpoint}: waited"
    " {waited_ms} ms ({predicted_ms} predicted), first byte after {first_ms} ms"
    " (objective {objective_ms}), end after {total_ms} ms",
    Event.FAILED: "failed with {status} from {endpoint}: {why}, ran: {ran}, after"
    " {total_ms} ms",
    Event.CUT: "cut by {endpoint} after {pieces} pieces: {why}, ran: {ran}, after"
    " {total_ms} ms",
    Event.CALLER_LEFT: "caller left after {total_ms} ms, request was {stage} at"
    " {endpoint}",
    Event.REDIRECTED: "rejected by placer {first} with {left_ms} ms left, asked"
    " {second} with {free} free slots (another one had {others_free}): {outcome} after"
    " {after_ms} ms, reports {report_age_ms} ms old",
    Event.ENDPOINT_COLD: "endpoint {endpoint} is cold again for {cold_ms} ms, by"
    " {source}",
    Event.ENDPOINT_SEEN: "endpoint {endpoint} of {service} seen, by {source}",
    Event.ENDPOINT_LEAVING: "endpoint {endpoint} is leaving, by {source}",
    Event.ENDPOINT_GONE: "endpoint {endpoint} is gone, by {source}",
    Event.ENDPOINT_SUSPECT: "endpoint {endpoint} is suspect after {failures}"
    " failures: {why}",
    Event.ENDPOINT_BACK: "endpoint {endpoint} is back after {after_ms} ms",
    Event.ENDPOINT_HELD: "endpoint {endpoint} is no longer listed and kept for"
    " {for_ms} ms, in case its entry only expired",
    Event.LIST_LOST: "endpoint list unavailable, last confirmed {unheard_ms} ms ago:"
    " {why}",
    Event.LIST_REGAINED: "endpoint list available again after {after_ms} ms",
    Event.ENDPOINT_CRASHED: "endpoint {endpoint} crashed with {requests} requests of"
    " this host in flight: {digests}",
    Event.CONFIG_IN_FORCE: "configuration {config} in force, from {source},"
    " {age_ms} ms old",
    Event.KEYS_UNTRUSTED: "keys no longer trusted: store silent for {unheard_ms} ms",
    Event.KEYS_TRUSTED: "keys trusted again after {after_ms} ms",
    Event.ZONES_EVACUATED: "zones evacuated: [{zones}], just released: [{released}]",
    Event.STORE_LOST: "store unavailable, last confirmed {unheard_ms} ms ago: {why}",
    Event.STORE_REGAINED: "store available again after {after_ms} ms",
    Event.PLACER_SILENT: "placer {placer} does not answer, {asked} requests"
    " placed by this host",
    Event.PLACER_HEARD: "placer {placer} answers again after {after_ms} ms",
    Event.PLACING: "places requests for {endpoints} endpoints, placers: {placers}",
    Event.PARTS_LEARNED: "endpoint {endpoint} caches {parts} prompt parts",
    Event.PARTS_UNKNOWN: "endpoint {endpoint} does not report its cached prompt"
    " parts: {why}",
    Event.PEERS_LOST: "peers unreachable: {live} of {known} alive",
    Event.PEERS_REGAINED: "peers reachable after {after_ms} ms: {live} of {known}"
    " alive",
    Event.STARTED: "router started, version {version}",
    Event.STOPPING: "router is stopping, {running} running, {waiting} waiting",
    Event.STOPPED: "router stopped after {total_ms} ms, {cut} requests cut",
    Event.RELOADED: "settings reloaded, changed: {changed}",
    Event.HOST_BEHIND: "event loop lags by {late_ms} ms, {connections} connections,"
    " {running} running, {waiting} waiting",
    Event.HOST_CAUGHT_UP: "event loop no longer lags after {after_ms} ms,"
    " {connections} connections",
    Event.TURNED_AWAY: "{requests} requests of {accounts} accounts rejected unread"
    " in one second, loop rounds of {round_ms} ms",
    Event.CONNECTIONS_FULL: "connection limit reached with {connections} callers'"
    " connections, {gave_way} idle ones closed",
    Event.ACCOUNT_REFUSED: "in one second {sent} requests of {account} sent with"
    " {work} tokens, {rejected} rejected and {unread} rejected unread; it had"
    " {level} tokens of {limit}",
    Event.LINES_DROPPED: "log lines dropped: {sampled} by sampling, {budget} over"
    " the budget, {buffer} with a full buffer, {sink} not written",
    Event.STORE_ERA: "the store was restored to an older state, era {era} after"
    " {before}",
    Event.ENDPOINT_BACKOFF: "endpoint {endpoint} requested {for_ms} ms of backoff",
    Event.OUT_OF_BUDGET: "{service} exhausted its retry budget: {repeats} retries of"
    " {requests} requests, {hosts} hosts",
    Event.QUARANTINED: "request {digest} quarantined for {for_ms} ms, reported by"
    " {source}",
    Event.QUARANTINE_CLEARED: "request {digest} was answered and is cleared of crashes",
}


def format_message(line: DecisionLine) -> str:
    """Format a line as a message; missing fields are shown as ``?``."""
    return MESSAGE_TEMPLATES[line.event].format_map(
        defaultdict(lambda: "?", line.fields)
    )

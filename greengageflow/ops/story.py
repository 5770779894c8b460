"""What each decision line says, in words."""

from collections import defaultdict

from greengageflow.net.decision_events import DecisionEvent as Event
from greengageflow.ops.decision_lines import DecisionLine

SENTENCES = {
    Event.SENT: "sent to {endpoint}: {reading} of {prompt} prompt tokens to read,"
    " predicted wait {predicted_ms} ms, {queued} queued there, account {account} at"
    " level {level}, reports {report_age_ms} ms old, configuration {config}",
    Event.REFUSED: "refused, {why} ({text}), come back after {retry_after_ms} ms:"
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
    Event.ENDPOINT_SEEN: "endpoint {endpoint} of {service} seen, by {source}",
    Event.ENDPOINT_LEAVING: "endpoint {endpoint} is leaving, by {source}",
    Event.ENDPOINT_GONE: "endpoint {endpoint} is gone, by {source}",
    Event.ENDPOINT_SUSPECT: "endpoint {endpoint} is suspect after {failures}"
    " failures: {why}",
    Event.ENDPOINT_BACK: "endpoint {endpoint} is back after {after_ms} ms",
    Event.ENDPOINT_HELD: "endpoint {endpoint} is no longer listed and kept for"
    " {for_ms} ms, lest its entry only lapsed",
    Event.LIST_LOST: "list of endpoints lost, unheard for {unheard_ms} ms: {why}",
    Event.LIST_REGAINED: "list of endpoints read again after {after_ms} ms",
    Event.ENDPOINT_CRASHED: "endpoint {endpoint} crashed with {requests} requests of"
    " this host in flight: {digests}",
    Event.CONFIG_IN_FORCE: "configuration {config} in force, from {source},"
    " {age_ms} ms old",
    Event.KEYS_UNTRUSTED: "keys no longer trusted: store unheard for {unheard_ms} ms",
    Event.KEYS_TRUSTED: "keys trusted again after {after_ms} ms",
    Event.STORE_LOST: "store lost, unheard for {unheard_ms} ms: {why}",
    Event.STORE_REGAINED: "store back after {after_ms} ms",
    Event.PLACER_SILENT: "placer {placer} does not answer, {asked} requests"
    " decided here",
    Event.PLACER_HEARD: "placer {placer} answers again after {after_ms} ms",
    Event.PLACING: "places requests for {endpoints} endpoints, placers: {placers}",
    Event.PARTS_LEARNED: "endpoint {endpoint} keeps {parts} prompt parts",
    Event.PARTS_UNKNOWN: "endpoint {endpoint} does not say what it keeps: {why}",
    Event.PEERS_LOST: "peers lost: {live} of {known} live",
    Event.PEERS_REGAINED: "peers back after {after_ms} ms: {live} of {known} live",
    Event.STARTED: "router started, version {version}",
    Event.STOPPING: "router is stopping, {running} running, {waiting} waiting",
    Event.STOPPED: "router stopped after {total_ms} ms, {cut} requests cut",
    Event.RELOADED: "settings read again, changed: {changed}",
    Event.HOST_BEHIND: "the loop is {late_ms} ms late, {connections} connections,"
    " {running} running, {waiting} waiting",
    Event.HOST_CAUGHT_UP: "the loop is on time again after {after_ms} ms,"
    " {connections} connections",
    Event.TURNED_AWAY: "{requests} requests of {accounts} accounts turned away unread"
    " in a second, rounds of {round_ms} ms",
    Event.CONNECTIONS_FULL: "no room beside {connections} callers' connections,"
    " {gave_way} idle ones gave way",
    Event.LINES_DROPPED: "log lines left out: {sampled} sampled away, {budget} over"
    " the budget, {buffer} with a full buffer, {sink} not written",
    Event.STORE_ERA: "the store came back older, era {era} after {before}",
    Event.ENDPOINT_BACKOFF: "endpoint {endpoint} asks for {for_ms} ms of backoff",
    Event.OUT_OF_BUDGET: "{service} gets no more repeats: {repeats} of {requests}"
    " requests, {hosts} hosts",
    Event.QUARANTINED: "request {digest} is held back for {for_ms} ms, known from"
    " {source}",
    Event.QUARANTINE_CLEARED: "request {digest} was answered and is cleared of crashes",
}


def sentence(line: DecisionLine) -> str:
    """Return what a line says; a field that it lacks shows as ``?``."""
    return SENTENCES[line.event].format_map(defaultdict(lambda: "?", line.fields))

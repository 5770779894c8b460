"""Complete table of decision log events; ``docs/EVENTS.md`` describes them."""

from enum import Enum, IntEnum


class Level(IntEnum):
    """Priority of a line when the log is over budget; lowest are dropped first."""

    ROUTINE = 0
    NOTABLE = 1
    FAILURE = 2
    STATE = 3


class DecisionEvent(Enum):
    """Every event of the decision log.

    The number prefixes are GG70 for requests, GG71 endpoints, GG72 configuration, GG73
    store and peers, GG74 process, GG75 the log itself, GG76 quarantine, GG77 backoff,
    GG78 store eras and GG79 retry budget. Fields with times are in whole milliseconds
    and end in ``_ms``; ``config`` is the configuration version of the decision.

    Attributes:
        number: Event number; never reused.
        level: Priority of its lines when the log is over budget.
        fields: Names of the fields in its lines.
    """

    SENT = (
        "GG701",
        Level.ROUTINE,
        "request digest account route endpoint born fetch_from prompt reading"
        " waited_ms predicted_ms placer queued level report_age_ms config resumes"
        " number wait_ms slowness duration_ms cached cost next_cost",
    )
    REFUSED = (
        "GG702",
        Level.NOTABLE,
        "request digest account route why text retry_after_ms waited_ms queued level"
        " report_age_ms config",
    )
    RETRIED = ("GG703", Level.NOTABLE, "request before endpoint why config")
    RESUMED = (
        "GG704",
        Level.NOTABLE,
        "request before endpoint born release why pieces config",
    )
    FINISHED = (
        "GG705",
        Level.ROUTINE,
        "request endpoint born verified status end proof first_ms total_ms",
    )
    FINISHED_LATE = (
        "GG706",
        Level.NOTABLE,
        "request endpoint born verified status end proof waited_ms predicted_ms"
        " first_ms total_ms objective_ms",
    )
    FAILED = (
        "GG707",
        Level.FAILURE,
        "request endpoint status why ran total_ms parts",
    )
    CUT = (
        "GG708",
        Level.FAILURE,
        "request endpoint born verified why pieces ran total_ms",
    )
    CALLER_LEFT = ("GG709", Level.NOTABLE, "request endpoint stage total_ms")
    REDIRECTED = (
        "GG700",
        Level.NOTABLE,
        "request account first second free others_free left_ms retry_after_ms outcome"
        " after_ms report_age_ms",
    )

    ENDPOINT_COLD = ("GG710", Level.STATE, "endpoint source cold_ms")
    ENDPOINT_SEEN = (
        "GG711",
        Level.STATE,
        "endpoint service zone release source cold_ms",
    )
    ENDPOINT_LEAVING = ("GG712", Level.STATE, "endpoint source")
    ENDPOINT_GONE = ("GG713", Level.STATE, "endpoint source")
    ENDPOINT_SUSPECT = ("GG714", Level.STATE, "endpoint why failures")
    ENDPOINT_BACK = ("GG715", Level.STATE, "endpoint after_ms")
    ENDPOINT_HELD = ("GG716", Level.STATE, "endpoint for_ms")
    LIST_LOST = ("GG717", Level.STATE, "why unheard_ms")
    LIST_REGAINED = ("GG718", Level.STATE, "after_ms")

    ENDPOINT_CRASHED = ("GG719", Level.STATE, "endpoint requests digests")

    CONFIG_IN_FORCE = ("GG721", Level.STATE, "config source age_ms")
    KEYS_UNTRUSTED = ("GG722", Level.STATE, "config unheard_ms")
    KEYS_TRUSTED = ("GG723", Level.STATE, "config after_ms")
    ZONES_EVACUATED = ("GG724", Level.STATE, "zones released")

    PLACED = (
        "GG730",
        Level.ROUTINE,
        "request endpoint wait_ms slowness duration_ms cached cost next_cost",
    )
    STORE_LOST = ("GG731", Level.STATE, "why unheard_ms")
    STORE_REGAINED = ("GG732", Level.STATE, "after_ms")
    PEERS_LOST = ("GG733", Level.STATE, "live known")
    PEERS_REGAINED = ("GG734", Level.STATE, "live known after_ms")
    PLACER_SILENT = ("GG735", Level.STATE, "placer asked")
    PLACER_HEARD = ("GG736", Level.STATE, "placer after_ms")
    PLACING = ("GG737", Level.STATE, "placers endpoints")
    PARTS_LEARNED = ("GG738", Level.STATE, "endpoint parts")
    PARTS_UNKNOWN = ("GG739", Level.STATE, "endpoint why")

    STARTED = ("GG741", Level.STATE, "zone version")
    STOPPING = ("GG742", Level.STATE, "running waiting")
    STOPPED = ("GG743", Level.STATE, "cut total_ms")
    RELOADED = ("GG744", Level.STATE, "changed")

    HOST_BEHIND = ("GG745", Level.STATE, "late_ms connections running waiting")
    HOST_CAUGHT_UP = ("GG746", Level.STATE, "after_ms connections")
    TURNED_AWAY = ("GG747", Level.STATE, "requests accounts round_ms")
    CONNECTIONS_FULL = ("GG748", Level.STATE, "connections gave_way")
    ACCOUNT_REFUSED = (
        "GG749",
        Level.STATE,
        "account sent work rejected unread level limit report_age_ms",
    )

    LINES_DROPPED = ("GG751", Level.STATE, "sampled budget buffer sink")

    QUARANTINED = ("GG761", Level.STATE, "digest what source for_ms")
    QUARANTINE_CLEARED = ("GG762", Level.STATE, "digest what")

    ENDPOINT_BACKOFF = ("GG771", Level.STATE, "endpoint for_ms")

    STORE_ERA = ("GG781", Level.STATE, "era before")

    OUT_OF_BUDGET = ("GG791", Level.STATE, "service requests repeats hosts")

    def __init__(self, number: str, level: Level, fields: str) -> None:
        # Plain attributes, since Enum.value is a descriptor in Python code and too
        # slow to look up for each line.
        self.number = number
        self.level = level
        self.fields = tuple(fields.split())

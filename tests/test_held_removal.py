"""What one host tells of the platform's list while it holds back what it read."""

import json
from types import SimpleNamespace

from greengageflow.core.endpoint_list import EndpointList
from greengageflow.core.keyed_record import KeyedRecord
from greengageflow.core.outage_hold import MIN_OUTAGE_S
from greengageflow.daemon.store_view import StoreView

ENTRY = {
    "service": "app",
    "address": "127.0.0.1:9",
    "zone": "z",
    "slots": 4,
    "state": "ready",
}


def test_a_host_that_holds_a_removal_back_still_tells_that_it_knows_of_it():
    """The host that reads for its zone was cut from the store; after that it holds
    removals for two seconds, since entries may have lapsed. Peers that were never cut
    must hear at once that the list changed, and read it: they would send to the
    endpoint that left for as long as the reader holds it."""
    now, news = [100.0], []
    nothing = SimpleNamespace(write=lambda *_args, **_fields: None)
    endpoints = EndpointList()
    view = StoreView(
        None,
        SimpleNamespace(now=100.0),
        ("127.0.0.1", 1),
        endpoints,
        nothing,
        on_routing=lambda _routing: None,
        on_change=lambda _change: None,
        on_update=lambda: news.append(view.list_mark),
        on_read=lambda _news, _is_own: None,
        on_era=lambda _era: None,
        pace_s=1.0,
        clock=lambda: now[0],
    )
    view.take_list([KeyedRecord("app-0", json.dumps(ENTRY).encode(), 4)])
    view.list_lost("timeout")
    now[0] += 2 * MIN_OUTAGE_S
    view.take_list([KeyedRecord("app-0", None, 7)])
    assert endpoints.ids() == {"app-0"}
    assert news == [5, 8] and view.list_mark == 8

"""The page that explains placements, and the text that the command prints."""

from types import SimpleNamespace
from urllib.parse import urlencode

import pytest

from greengageflow.core.endpoint_list import EndpointList, ListedEndpoint
from greengageflow.core.fleet_retry_budget import FleetRetryBudget
from greengageflow.core.routes import Backend, RetryPolicy, Route, Routing, Service
from greengageflow.core.service_dispatcher import ServiceDispatcher
from greengageflow.core.trust import KeyTrust
from greengageflow.daemon.forward_admission import ForwardAdmission
from greengageflow.daemon.placement_page import MAX_ANSWERS_PER_S, PlacementPage
from greengageflow.errors import RouterError
from greengageflow.net.calls import CallerRequest
from greengageflow.net.forward_calls import PlacementCall
from greengageflow.ops._ctl_config import BadInputError
from greengageflow.ops._ctl_where import placement_text, where
from greengageflow.platform.interfaces import PLACEMENT_PATH, ReadyInterface

KEY = "secret-key-of-olive"
CHAT = {"host": "app.example", "path": "/chat/x", "account": "olive"}
TOKENS = {"tokens_in": "900", "tokens_out": "50", "parts": "system:600,own:300"}


def route(name, *services):
    return Route(
        name=name,
        host="app.example",
        prefix=f"/{name}/",
        retry_policy=RetryPolicy.ANY,
        stream=name == "chat",
        timeout_s=10.0,
        target_s=0.3,
        gap_s=1.0,
        attempts=2,
        priority=0,
        public=False,
        backends=tuple(Backend(service, n + 1.0) for n, service in enumerate(services)),
    )


ROUTING = Routing(
    1,
    (route("chat", "scribe"), route("plain", "app", "new")),
    {"scribe": Service("scribe", 4, 20_000), "app": Service("app", 2)},
    {KEY: "olive"},
    keyed=True,
)


class Page:
    """A page with its host; ``ask`` returns status and JSON body."""

    def __init__(self, placer=""):
        self.timers = SimpleNamespace(now=10.0)
        endpoints = EndpointList()
        for name, service in (("e0", "scribe"), ("e1", "scribe"), ("p0", "app")):
            row = ListedEndpoint(name, service, "127.0.0.1", 9, "a", 4)
            list(endpoints.put(row))
        self.dispatcher = ServiceDispatcher(
            endpoints, "a", lambda: FleetRetryBudget(0.1, 10, 10.0), host="h0"
        )
        trust = KeyTrust(60.0)
        trust.confirm(10.0)
        self.admission = ForwardAdmission(self.timers, trust, lambda: self.timers.now)
        self.admission.on_routing(ROUTING)
        self.dispatcher.on_routing(ROUTING)
        self.page = PlacementPage(
            "h0",
            self.timers,
            self.admission,
            self.dispatcher,
            SimpleNamespace(
                placer_for=lambda *_: placer, owner_of=lambda _: placer or "h0"
            ),
            totals_at=lambda: 9.9,
        )

    def ask(self, query, key=""):
        answers = []
        reply = SimpleNamespace(
            json=lambda status, obj, _headers=(): answers.append((status, obj)),
            error=lambda exc: answers.append((exc.status, exc.body["error"])),
        )
        text = query if isinstance(query, str) else urlencode(query)
        self.page.on_call(PlacementCall(query=text, key=key, reply=reply))
        (answer,) = answers
        return answer


@pytest.mark.parametrize(
    "query, text",
    [
        ("", "host and path, or service"),
        ("host", "query: not valid"),
        ("service=%ff", "query: not valid"),
        ("host=app.example", "together"),
        ("host=app.example&path=chat", "path: must begin"),
        ("host=app.example&path=/none/", "no such route"),
        ("service=none", "no route"),
        ("service=app&service=app", "more than once"),
        ("service=app&colour=red", "the fields are"),
        ("service=app&account=", "account: must be"),
        ("service=app&zone=a%0ab", "zone: must be"),
        ("service=app&account=nobody", "account: unknown"),
        ("service=app", "needs an account or a key"),
        ("service=scribe&host=app.example&path=/plain/", "not one of the route"),
        ("service=scribe&account=olive&tokens_in=-1", "tokens_in"),
        ("service=scribe&account=olive&tokens_in=1e3", "tokens_in"),
        ("service=scribe&account=olive&tokens_in=99999999", "tokens_in"),
        ("service=scribe&account=olive&tokens_out=5", "tokens_in: required"),
        ("service=scribe&account=olive&parts=system", "parts: must be"),
        ("service=scribe&account=olive&parts=system:x", "parts: tokens"),
        ("service=scribe&account=olive&parts=a:9&tokens_in=5", "not be less"),
        ("service=scribe&account=olive&parts=" + 65 * "a:1,", "at most 64"),
    ],
)
def test_bad_input_is_refused_with_the_name_of_the_field(query, text):
    """Guards against an internal error, or a guess, on input that is not valid."""
    status, error = Page().ask(query)
    assert (status, error["kind"]) == (400, "bad_request")
    assert text in error["message"]


@pytest.mark.parametrize("name", ["key", "KEY", "credential", "account", "colour"])
def test_a_key_in_the_query_is_refused_and_not_repeated(name):
    """Guards against keys in URLs, which proxies log, and in error messages."""
    status, error = Page().ask({"service": "app", name: KEY})
    assert status == 400 and KEY not in str(error)


def test_a_key_in_the_header_names_its_account():
    page = Page()
    status, found = page.ask({"service": "app"}, KEY)
    assert (status, found["account"], found["endpoint"]) == (200, "olive", "p0")
    assert KEY not in str(found)
    status, error = page.ask({"service": "app"}, "wrong-key")
    assert (status, error["message"]) == (400, "key: unknown")
    status, error = page.ask({"service": "app", "account": "olive"}, KEY)
    assert status == 400 and "together" in error["message"]
    assert KEY not in repr(PlacementCall(query="", key=KEY, reply=None))


def test_the_answer_has_the_decision_its_host_and_the_age_of_the_reports():
    status, found = Page().ask(CHAT | TOKENS)
    assert status == 200
    assert (found["host"], found["placer"], found["decided_here"]) == ("h0", "h0", True)
    assert (found["route"], found["service"]) == ("chat", "scribe")
    assert found["load_report_age_s"] == pytest.approx(0.1)
    assert found["outcome"] == "start" and len(found["candidates"]) == 2
    status, found = Page().ask(
        {"host": "app.example", "path": "/plain/", "zone": "b"} | {"account": "olive"}
    )
    assert found["service"] == "new", "the service with the most weight"
    assert (found["outcome"], found["refusal"]["kind"]) == ("refuse", "no_endpoint")


def test_the_placer_of_another_host_is_named():
    """Guards against a choice of this host that is taken for the placer's."""
    _, found = Page(placer="h7").ask(CHAT | TOKENS)
    assert (found["placer"], found["decided_here"]) == ("h7", False)
    text = placement_text(found)
    assert "h7 decides; h0 was asked" in text and "placer h7" in text
    assert f"h0: starts at {found['endpoint']}" in text


def test_answers_are_limited_to_five_in_any_second():
    page = Page()
    for _ in range(MAX_ANSWERS_PER_S):
        assert page.ask(CHAT)[0] == 200
        page.timers.now += 0.1
    status, error = page.ask(CHAT)
    assert status == 429 and error["retry_after_s"] == pytest.approx(0.5)
    page.timers.now += 0.51
    assert page.ask(CHAT)[0] == 200
    assert page.ask(CHAT)[0] == 429


def test_questions_are_no_requests():
    """Guards against questions that take request numbers, change the random choice of
    a backend, or create queues and retry budgets.
    """
    page = Page()
    random = page.admission._random.getstate()
    for _ in range(100):
        page.timers.now += 0.25
        assert page.ask(CHAT | TOKENS)[0] == 200
    assert next(page.admission._numbers) == 1
    assert page.admission._random.getstate() == random
    assert not page.admission._longest_wait_s
    assert not page.dispatcher._schedulers and not page.dispatcher._budgets
    assert not page.dispatcher.recent_demand(page.timers.now)


def test_the_page_is_served_where_it_is_enabled_only():
    """Guards against the page on the listener of the load balancer."""
    with pytest.raises(RouterError):
        ReadyInterface().check_target("GET", PLACEMENT_PATH)
    interface = ReadyInterface(placement=True)
    interface.check_target("GET", PLACEMENT_PATH)
    with pytest.raises(RouterError):
        interface.check_target("POST", PLACEMENT_PATH)
    headers = (("authorization", f"Bearer {KEY}"),)
    request = CallerRequest("GET", f"{PLACEMENT_PATH}?service=app", headers)
    call = interface.parse_call(request, None)
    assert (call.query, call.key) == ("service=app", KEY)


def test_text_names_refusals_and_reasons():
    page = Page()
    row = page.dispatcher.get_endpoint("p0")
    page.dispatcher.on_backoff(10.0, row, 3.0)
    text = placement_text(page.ask({"service": "app", "account": "olive"})[1])
    assert "refused: no_endpoint, all endpoints" in text
    assert "Retry-After 3.00" in text and "backoff, for 3.0 s" in text


@pytest.mark.parametrize("content", ["", "two keys", "key\nsecond", "schlüssel"])
def test_command_refuses_a_bad_address_or_key_file(tmp_path, content):
    """Guards against a header that carries more than the key, or an error on it."""
    with pytest.raises(BadInputError, match="IP:PORT"):
        where("nowhere", {})
    path = tmp_path / "key"
    path.write_text(content)
    with pytest.raises(BadInputError, match="one key"):
        where("127.0.0.1:9", {}, str(path))

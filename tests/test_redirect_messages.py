"""Redirected requests on the wire, at the caller and in log and metrics."""

from dataclasses import replace
from types import SimpleNamespace

import pytest
from second_placer_fleet import (
    ONE_WAY_S,
    PATIENCE_S,
    USABLE_SLOTS,
    RedirectFleet,
    fleet_with_free,
)

from greengageflow.core.place_messages import PlacementRequest
from greengageflow.core.second_placer import RedirectOutcome
from greengageflow.core.service_scheduler import RefuseJob
from greengageflow.daemon.forward_telemetry import ForwardTelemetry
from greengageflow.daemon.forwarder import Forwarder
from greengageflow.errors import ErrorKind
from greengageflow.net.decision_events import DecisionEvent
from greengageflow.net.metrics_page import MetricsPage
from greengageflow.net.placement_codec import placement_values
from greengageflow.net.report_codec import decode, encode


def earlier_release_parse(values):
    """Return what to avoid as the earlier release, which takes no further value."""
    host, boot, request, service, account, priority, *rest = values
    waited_s, slack_s, timeout_s, target_s, *rest = rest
    parts, tokens_in, tokens_out, avoid, zone, *rest = rest
    _zones, version = (*rest, *(None, "")[len(rest) :])
    assert isinstance(version, str) and all(isinstance(name, str) for name in avoid)
    return avoid


def test_placer_of_the_earlier_release_serves_a_redirected_request():
    """It rejects messages with more values; the mark must be one that it ignores."""
    fleet, host, second = fleet_with_free()

    def as_earlier(message):
        if not isinstance(message, PlacementRequest):
            return message
        avoid = earlier_release_parse(placement_values(message)[1:])
        return replace(message, avoid=avoid, redirected=False)

    fleet.translate = as_earlier
    name = host.ask()
    fleet.run(0.05)
    assert host.sent_to[name] in fleet.engines[second]


@pytest.mark.parametrize("avoid", [(), ("e1", "e2")])
@pytest.mark.parametrize("zones, version", [(None, ""), (("z",), ""), (None, "v1")])
def test_mark_of_a_redirected_request_is_read_back(avoid, zones, version):
    """Without a mark, messages must stay as hosts of the earlier release send them."""
    fleet = RedirectFleet()
    host = fleet.others[0]
    host.ask()
    plain = fleet.requests[0][2]
    plain = replace(
        plain, slack_s=1.0, avoid=avoid, allowed_zones=zones, version=version
    )
    assert earlier_release_parse(placement_values(plain)[1:]) == avoid
    assert decode(encode(plain)) == plain
    marked = replace(plain, redirected=True)
    assert decode(encode(marked)) == marked
    assert len(placement_values(marked)) == len(placement_values(plain))


def test_forwarder_answers_no_rejection_while_a_second_placer_is_asked():
    """The caller would get 429, and the second placer's start would have no request."""
    forwarder = Forwarder(None, None, None, None, None, None, None)
    forwarder._active["1"] = SimpleNamespace(id="1")
    answered = []
    forwarder._answer_error = lambda ctx, exc: answered.append(exc.kind)
    refusal = RefuseJob("1", ErrorKind.QUEUE_FULL, "full", 1.0)
    forwarder.placement = SimpleNamespace(redirect=lambda refusal: True)
    forwarder.carry_out([refusal])
    assert not answered
    forwarder.placement = SimpleNamespace(redirect=lambda refusal: False)
    forwarder.carry_out([refusal])
    assert answered == [ErrorKind.QUEUE_FULL]


@pytest.mark.parametrize("outcome", RedirectOutcome)
def test_each_redirect_is_counted_and_logged_with_the_terms_that_decided(outcome):
    """Operators could not tell whether asking a second placer helps."""
    fleet, host, second = fleet_with_free()
    lines, page, ended = [], MetricsPage(), []
    host.placement.on_redirected = lambda redirect, _: ended.append(redirect)
    host.ask()
    fleet.run(0.05)
    log = SimpleNamespace(write=lambda event, **fields: lines.append((event, fields)))
    telemetry = ForwardTelemetry(log, page, None)
    ctx = SimpleNamespace(req=SimpleNamespace(id="r1"), account="a")
    is_open = outcome is not RedirectOutcome.ABANDONED
    telemetry.on_redirected(fleet.now, ctx if is_open else None, ended[0], outcome)
    counted = f'greengage_redirects_total{{outcome="{outcome.value}"}} 1.0'
    assert counted in page.render().decode()
    assert len(lines) == is_open
    for event, fields in lines:
        assert event is DecisionEvent.REDIRECTED and tuple(fields) == event.fields
        assert fields["request"] == "r1" and fields["outcome"] == outcome.value
        assert (fields["first"], fields["second"]) == (fleet.first, second)
        assert fields["free"] == USABLE_SLOTS * len(fleet.engines[second])
        assert fields["others_free"] == 0
        assert fields["left_ms"] == round(1000 * (PATIENCE_S - 2 * ONE_WAY_S))

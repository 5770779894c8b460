import pytest

from greengageflow.core.actions import ActionFold, Intent, Outcome
from greengageflow.core.catalog import FleetConfig, Policy
from greengageflow.core.messages import PeerId
from greengageflow.core.owner import EndpointOwner
from greengageflow.core.placement import FleetView, LiveMember
from greengageflow.core.shares import ServiceLedger, share_interval_s
from greengageflow.lab._slopes_svg import draw
from greengageflow.lab.capacity import PAGE_PATH, page
from greengageflow.lab.slopes import PLOT_PATH, load
from greengageflow.lab.slopes_fit import fit_line


def test_fit_recovers_an_exact_line():
    fit = fit_line([(x, 3.0 + 0.5 * x) for x in (1, 2, 4, 8)])
    assert (fit.slope, fit.intercept) == pytest.approx((0.5, 3.0))
    assert fit.residual == pytest.approx(0.0, abs=1e-9)
    assert fit.predict(100) == pytest.approx(53.0)


def test_residual_is_the_root_mean_square_error():
    fit = fit_line([(0, 1.0), (0, -1.0), (2, 1.0), (2, -1.0)])
    assert (fit.slope, fit.intercept, fit.residual) == pytest.approx((0.0, 0.0, 1.0))


def test_fit_rejects_a_single_driver_value():
    with pytest.raises(ValueError):
        fit_line([(3, 1.0), (3, 2.0)])


def test_page_and_plot_match_the_saved_slopes():
    document = load()
    assert PAGE_PATH.read_text() == page(document)
    assert PLOT_PATH.read_text() == draw(document["slopes"])


def test_saved_slopes_match_the_fit_of_their_points():
    for name, entry in load()["slopes"].items():
        fit = fit_line(entry["points"])
        assert len(entry["points"]) >= 4, name
        saved = (entry["slope"], entry["intercept"])
        assert saved == pytest.approx((fit.slope, fit.intercept), rel=1e-2, abs=0.01)


def test_report_interval_grows_only_in_large_fleets():
    intervals_s = [share_interval_s(0.5, n) for n in (1, 9, 22, 23, 90, 360, 720)]
    assert intervals_s == [0.5, 0.5, 0.5, 1.0, 1.0, 2.0, 4.0]
    assert share_interval_s(3.0, 360) == 3.0


def test_totals_lag_follows_the_report_interval_of_the_fleet():
    """The owner's lag for service totals follows the report interval of the fleet.

    Until its grants appear in the totals, an account looks underserved. In a large
    fleet reports are rarer. An owner that dropped its own charges after the interval
    of a small fleet would grant all free slots to one account.
    """
    own = PeerId("r0", 1)
    live = {f"r{n}": LiveMember(1) for n in range(360)}
    owner = EndpointOwner(own, ServiceLedger(own))
    list(owner.on_config(0.0, FleetConfig(policy=Policy(share_interval_s=0.5))))
    list(owner.on_view(0.0, FleetView(own, live, frozenset())))
    assert owner._totals_lag_s == 6.0


def test_expired_short_answers_are_removed():
    """Expired keys of short answers are removed from the list of stored bodies.

    That list was trimmed only when the total size of stored answers exceeded its
    limit. Short answers never reach it, so a writer's memory grew without bound
    although each key expires after ten minutes.
    """
    fold = ActionFold(600.0)
    for number in range(1000):
        time = 10.0 * number
        key, nonce = f"acme\n{number}", f"r1:1:{number}"
        fold.apply(time, Intent(key, nonce, "d", "r1:1"))
        fold.apply(time, Outcome(key, nonce, "yes", 200, "text/plain", b"done"))
    assert len(fold) <= 62
    assert len(fold._body_keys) <= 62

"""A short fleet bench reports all measures; its plans and phases are consistent."""

import pytest

from greengageflow.core.json_text import parse_json
from greengageflow.lab._fleet_load import ROUTERS, SITES, SMALL, Phases, lab_plan
from greengageflow.lab.bench_fleet import Experiment, Run
from greengageflow.settings import example_settings, parse_settings


def test_a_short_run_reports_every_measure():
    row = Run(Experiment("parada-viva", "owned", "steady", 8.0, 1, True)).row()
    assert row["requests"] == row["complete"] > 0
    assert (row["wrong"], row["ran_though_refused"], row["doubled"]) == (0, 0, 0)
    assert 0 < row["utilisation"] <= 1
    assert row["small_flood_n"] > 0
    assert row["control_bytes_per_router_s"] > 0
    assert row["cpu_proxy"] > 0


@pytest.mark.parametrize("policy", ["central", "owned", "split", "local"])
def test_only_the_reference_has_one_router(policy):
    plan = lab_plan(SITES["peristeri"], policy)
    assert plan.routers == (1 if policy == "central" else ROUTERS)
    assert set(SMALL) < set(plan.accounts)


def test_phases_follow_each_other():
    windows = Phases(40.0).windows(100.0)
    assert windows["quiet"].end < windows["backlog"].start
    assert windows["backlog"].end < windows["flood"].start
    assert windows["busy"].end == windows["flood"].end == 140.0


def test_sharing_is_checked():
    document = parse_json(example_settings(), "settings")
    assert parse_settings(document).sharing == "owned"
    with pytest.raises(ExceptionGroup):
        parse_settings({**document, "sharing": "none"})

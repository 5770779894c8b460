"""Tests of the capacity page's section on the sweep of fleet sizes."""

import pytest

from greengageflow.lab._capacity_sweep import extrapolate, read_sweep

SWEEP_OUTPUT = """code 123, a day

day          own/srv
sweep-30     33/298   0.94

middle / busiest or longest, by own machines
                        30           100          300  power  at 358
router: processor %  5.0 / 8.3   5.7 / 11.6   6.4 / 18.9   0.36  20.1
config acked, ms    61.0 / 61.0  85.0 / 86.0   199 / 199   0.51  218
power: the busiest grows as machines to this power
"""


def test_read_sweep_parses_only_the_table():
    sweep = read_sweep(SWEEP_OUTPUT)
    assert sweep.origin == "code 123, a day"
    assert sweep.sizes == (30, 100, 300)
    assert [row.name for row in sweep.rows] == ["processor %", "config acked, ms"]
    assert sweep.rows[0].cells == ((5.0, 8.3), (5.7, 11.6), (6.4, 18.9))


def test_read_sweep_rejects_output_without_a_table():
    with pytest.raises(ValueError, match="no table"):
        read_sweep("given up\n")


def test_extrapolate_follows_a_power_law():
    assert extrapolate((30, 100, 300), (9.0, 100.0, 900.0), 360) == pytest.approx(1296)
    assert extrapolate((30, 100, 300), (0.0, 1.0, 2.0), 360) == 2.0

import subprocess
import sys
import tomllib
from pathlib import Path

from greengageflow.net.metrics_page import MetricsPage, PageMetric

ROOT = Path(__file__).parent.parent


def test_page_renders_counters_histograms_and_callbacks():
    page = MetricsPage()
    page.count(PageMetric.REFUSALS, "deadline")
    page.count(PageMetric.REFUSALS, "deadline", 2)
    page.observe(PageMetric.WAITING_TIME, 0.2, "scribe")
    page.register_reader(PageMetric.RUNNING, lambda: 7)
    page.register_reader(
        PageMetric.LOG_LINES_DROPPED, lambda: {"sampled": 4, "buffer": 1}
    )
    lines = page.render().decode().splitlines()
    assert 'greengage_refusals_total{kind="deadline"} 3.0' in lines
    bucket = 'greengage_waiting_seconds_bucket{le="%s",service="scribe"} %s'
    assert bucket % ("0.1", "0.0") in lines
    assert bucket % ("0.3", "1.0") in lines
    assert "greengage_running 7.0" in lines
    assert 'greengage_log_lines_dropped_total{cause="sampled"} 4.0' in lines
    assert not any("_created" in line for line in lines)


def test_number_of_label_values_is_bounded():
    page = MetricsPage()
    for number in range(1000):
        page.count(PageMetric.RETRIES, f"service-{number}")
    text = page.render().decode()
    assert text.count("greengage_retries_total{") == 65
    assert 'greengage_retries_total{service="other"} 936.0' in text


def test_import_and_rendering_start_no_thread():
    code = (
        "import threading; from greengageflow.net.metrics_page import MetricsPage;"
        "MetricsPage().render(); print(threading.active_count())"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, cwd=ROOT)
    assert done.stdout.strip() == b"1"


def test_dependency_lists_agree():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    listed = (ROOT / "requirements.txt").read_text().splitlines()
    assert listed == project["dependencies"]

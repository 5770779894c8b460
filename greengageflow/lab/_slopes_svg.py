"""Draws fitted slopes or time series as small panels of one SVG."""

from collections.abc import Iterator, Mapping
from typing import Any
from xml.sax.saxutils import escape

_WIDTH, _HEIGHT, _MARGIN, _COLUMNS = 250, 150, 34, 4
_STYLE = "font:9px sans-serif;background:white"


def draw(slopes: Mapping[str, Mapping[str, Any]]) -> str:
    """Return the SVG text with one panel per entry.

    An entry with a ``slope`` is drawn as points with the fitted line, any other as a
    polyline through its points.
    """
    rows = -(-len(slopes) // _COLUMNS)
    size = f'width="{_COLUMNS * _WIDTH}" height="{rows * _HEIGHT}"'
    head = f'<svg xmlns="http://www.w3.org/2000/svg" {size} style="{_STYLE}">'
    panels = [
        f'<g transform="translate({number % _COLUMNS * _WIDTH},'
        f'{number // _COLUMNS * _HEIGHT})">{"".join(_panel(name, slopes[name]))}</g>'
        for number, name in enumerate(sorted(slopes))
    ]
    return "\n".join([head, *panels, "</svg>", ""])


def _panel(name: str, entry: Mapping[str, Any]) -> Iterator[str]:
    points = entry["points"]
    max_x = max(x for x, _ in points)
    max_y = max(*(y for _, y in points), 1e-9)
    plot_width, plot_height = _WIDTH - 2 * _MARGIN, _HEIGHT - 2 * _MARGIN

    def to_pixels(x: float, y: float) -> tuple[float, float]:
        return (
            round(_MARGIN + plot_width * x / max_x, 1),
            round(_HEIGHT - _MARGIN - plot_height * min(max(y / max_y, 0), 1.2), 1),
        )

    base, left = _HEIGHT - _MARGIN, _MARGIN
    yield (
        f'<path d="M{left},{_MARGIN}V{base}H{_WIDTH - _MARGIN}" fill="none" '
        'stroke="gray"/>'
    )
    fitted = "slope" in entry
    line, fill = points, 'fill="none" '
    if fitted:
        fill = ""
        line = [(x, entry["intercept"] + entry["slope"] * x) for x in (0, max_x)]
    path_points = "L".join(f"{x},{y}" for x, y in (to_pixels(*point) for point in line))
    yield f'<path d="M{path_points}" {fill}stroke="steelblue"/>'
    if fitted:
        for x, y in (to_pixels(*point) for point in points):
            yield f'<circle cx="{x}" cy="{y}" r="2.5"/>'
    yield f'<text x="4" y="12">{escape(name)}</text>'
    if fitted:
        text = f"slope {entry['slope']:.4g}, residual {entry['residual']:.3g}"
        yield f'<text x="4" y="24" fill="dimgray">{text}</text>'
    yield f'<text x="2" y="{_MARGIN + 6}" fill="gray">{max_y:.4g}</text>'
    yield f'<text x="{_WIDTH - 2 * _MARGIN}" y="{base + 12}" fill="gray">{max_x:g}'
    yield "</text>"

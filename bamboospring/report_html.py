"""The report as an HTML page with plots.

Only this module imports matplotlib. The program deployed to VMs does not
contain it: on a VM without disks, matplotlib and its dependencies would take
three times the memory of everything else. There the page has no plots.
"""

from __future__ import annotations

import base64
from collections.abc import Sequence
from html import escape
import io
from typing import Any

from bamboospring.burn import GroupReport
from bamboospring.burn import Sample
from bamboospring.burn import Tally
from bamboospring.burn import tally_between
from bamboospring.report import as_text

__all__ = ["render_page"]

MAX_PLOTTED_GROUPS = 12
STYLE = """
body { font: 14px/1.4 system-ui, sans-serif; margin: 2em; color: #222; }
pre { background: #f6f6f6; padding: 1em; overflow-x: auto; }
img { max-width: 100%; }
"""


def render_page(
    samples: Sequence[Sample], reports: Sequence[GroupReport]
) -> str:
    """Return a self-contained HTML page."""
    # Plots only the groups with the highest burn rates, because a page with
    # hundreds of plots would be unreadable.
    worst = sorted(
        reports,
        key=lambda each: max(
            each.availability.burn_rate, each.latency.burn_rate
        ),
        reverse=True,
    )[:MAX_PLOTTED_GROUPS]
    images = _images(samples, worst)
    return (
        "<!doctype html><html lang=en><head><meta charset=utf-8>"
        f"<title>Service levels</title><style>{STYLE}</style></head>"
        f"<body><h1>Service levels</h1>{images}"
        f"<pre>{escape(as_text(samples, reports))}</pre></body></html>"
    )


def _images(samples: Sequence[Sample], reports: Sequence[GroupReport]) -> str:
    try:
        from matplotlib.figure import Figure
    except ImportError:
        return "<p>No plots: matplotlib is not installed here.</p>"
    return "".join(
        _image(_figure(Figure, samples, report)) for report in reports
    )


def _figure(
    figure_class: Any, samples: Sequence[Sample], report: GroupReport
) -> Any:
    series_start = samples[0].at
    times = [sample.at - series_start for sample in samples[1:]]
    steps = [
        tally_between(samples[at : at + 2], samples[at].at, samples[at + 1].at)
        for at in range(len(samples) - 1)
    ]
    tallies = [step.get(report.group, Tally()) for step in steps]
    figure = figure_class(figsize=(10, 2.6), layout="constrained")
    axes = figure.add_subplot()
    axes.set_title(report.group)
    axes.set_xlabel("seconds")
    axes.set_ylabel("statements")
    axes.plot(times, [tally.done for tally in tallies], label="done")
    axes.plot(times, [tally.slow for tally in tallies], label="slow")
    axes.plot(times, [tally.failed for tally in tallies], label="failed")
    axes.legend(loc="upper right")
    return figure


def _image(figure: Any) -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=100)
    data = base64.b64encode(buffer.getvalue()).decode()
    source = f"data:image/png;base64,{data}"
    return f'<p><img alt="statements over time" src="{source}"></p>'

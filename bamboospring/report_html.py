"""The report as one page with plots; matplotlib is loaded only here.

The program as it ships to VMs does not hold matplotlib, which with what it
needs would take three times the memory of all the rest on a VM without disks.
There the page has no plots.
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

__all__ = ["page"]

PLOTTED_GROUPS = 12
STYLE = """
body { font: 14px/1.4 system-ui, sans-serif; margin: 2em; color: #222; }
pre { background: #f6f6f6; padding: 1em; overflow-x: auto; }
img { max-width: 100%; }
"""


def page(samples: Sequence[Sample], reports: Sequence[GroupReport]) -> str:
    """Return a self-contained HTML page."""
    # Those that burn most come first: with hundreds of groups a plot of all
    # would show nothing.
    worst = sorted(
        reports,
        key=lambda each: max(each.availability.rate, each.latency.rate),
        reverse=True,
    )[:PLOTTED_GROUPS]
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
    new_figure: Any, samples: Sequence[Sample], report: GroupReport
) -> Any:
    start = samples[0].at
    times = [sample.at - start for sample in samples[1:]]
    steps = [
        tally_between(samples[at : at + 2], samples[at].at, samples[at + 1].at)
        for at in range(len(samples) - 1)
    ]
    tallies = [step.get(report.group, Tally()) for step in steps]
    figure = new_figure(figsize=(10, 2.6), layout="constrained")
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

"""Load reports: the metrics that servers report in responses to requests and to health checks."""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Collection

log = logging.getLogger(__name__)

_TEXT_FORMAT = "TEXT"
# A metric is a count or a fraction; anything else is malformed.
_METRIC_VALUE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,18})?", re.ASCII)


def parse_load_report(text: str | None, columns: Collection[str]) -> dict[str, float] | None:
    """Parse a load report in its text format, ``TEXT name=value, ...``.

    Args:
        text: The report, or None if the server gave none.
        columns: Names of the metrics that the settings ask for.

    Returns:
        The metrics among them that are well formed, by name; None if there are none.
    """
    if text is None or not columns:
        return None
    report_format, _, metrics = text.strip().partition(" ")
    if report_format.upper() != _TEXT_FORMAT:
        log.debug("load report in an unknown format skipped: %.80r", text)
        return None
    report = {}
    for metric in metrics.split(","):
        name, _, value = metric.partition("=")
        if not _METRIC_VALUE.fullmatch(value.strip()):
            log.debug("malformed load metric skipped: %.80r", metric)
        elif name.strip() in columns:
            report[name.strip()] = float(value)
    return report or None


def parse_health_check_response(body: bytes, columns: Collection[str]) -> dict[str, float] | None:
    """Parse the load report in the response to a health check: a JSON object, or the text format.

    Args:
        body: The response's body.
        columns: Names of the metrics that the settings ask for.

    Returns:
        The metrics among them that are well formed, by name; None if there are none.
    """
    text = body.decode("utf-8", "replace").strip()
    if not text.startswith("{"):
        return parse_load_report(text, columns)
    try:
        metrics = json.loads(text)
    except (ValueError, RecursionError):
        log.debug("malformed load report skipped: %.80r", text)
        return None
    # The checks of the text format apply to JSON, too.
    as_text = ",".join(f"{name}={value}" for name, value in metrics.items())
    return parse_load_report(f"{_TEXT_FORMAT} {as_text}", columns)

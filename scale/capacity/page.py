"""Fills in the tables of the capacity page, between the markers that name them."""

from __future__ import annotations

import re
from collections.abc import Sequence
from pathlib import Path

from scale.capacity.figures import Figure
from scale.capacity.table import format_figures
from scale.errors import UnmatchedTableError
from scale.results import Measurement, read_results

MISSING_TABLE = "missing"  # name of the table that lists the ranked figures
_BLOCK = re.compile(r"(<!-- table: (?P<name>[a-z-]+) -->\n).*?(<!-- end of table -->)", re.DOTALL)


def _ranked_figures(figures: Sequence[Figure]) -> list[Figure]:
    """Return the ranked figures in order of rank, as rows of the table "missing"."""
    ranked = sorted((figure.rank, index) for index, figure in enumerate(figures) if figure.rank is not None)
    return [
        figures[index].model_copy(
            update={"table": MISSING_TABLE, "what": f"{rank}. {figures[index].missing}"}
        )
        for rank, index in ranked
    ]


def fill_page(text: str, figures: Sequence[Figure], folder: Path) -> str:
    """Replace the tables between the markers of a page.

    Args:
        text: The page, in Markdown.
        figures: All figures of the page.
        folder: Folder of the results files.

    Returns:
        The page with its tables filled in.

    Raises:
        UnmatchedTableError: A marker has no figures, or figures have no marker.
        ResultsError: A results file cannot be used.
    """
    results: dict[str, Sequence[Measurement]] = {}
    for name in {name for figure in figures for name in figure.results}:
        path = folder / f"{name}.jsonl"
        results[name] = read_results([path]) if path.exists() else []
    displayed = [*figures, *_ranked_figures(figures)]
    marked_tables = {match["name"] for match in _BLOCK.finditer(text)}
    figure_tables = {figure.table for figure in displayed}
    if marked_tables != figure_tables:
        raise UnmatchedTableError(marked_tables ^ figure_tables)

    def fill(match: re.Match[str]) -> str:
        selected = [figure for figure in displayed if figure.table == match["name"]]
        return f"{match[1]}{format_figures(selected, results)}{match[3]}"

    return _BLOCK.sub(fill, text)

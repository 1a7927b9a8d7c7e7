"""Figures as a Markdown table."""

from __future__ import annotations

from collections.abc import Sequence

from scale.capacity.evaluation import Found, Results, find_figure
from scale.capacity.figures import Figure
from scale.capacity.numbers import format_number

NOT_RUN = "not run yet"
_HEADER = ("what", "figure", "budget", "how it was found", "run", "carried by")


def _format_value(figure: Figure, found: Found) -> str:
    text = format_number(found.value)
    least, most = format_number(found.least), format_number(found.most)
    if least != most:
        text += f" ({least} to {most})"
    text = f"{'at least ' if found.at_least else ''}{text} {figure.unit}".strip()
    return f"**{text}**" if _is_missed(figure, found) else text


def _is_missed(figure: Figure, found: Found) -> bool:
    """Whether any of the values is beyond the budget."""
    if figure.budget is None:
        return False
    return found.least < figure.budget if figure.budget_is_least else found.most > figure.budget


def _format_budget(figure: Figure, found: Found | None) -> str:
    if figure.budget is None:
        return ""
    bound = "at least " if figure.budget_is_least else ""
    text = f"{bound}{format_number(figure.budget)} {figure.unit}".strip()
    if found is not None and not figure.budget_is_least and found.most > figure.budget:
        text += f" (x {format_number(found.most / figure.budget)})"
    return text


def format_figures(figures: Sequence[Figure], results: Results) -> str:
    """A Markdown table; what is over its budget is bold."""
    rows = [_HEADER, tuple("---" for _ in _HEADER)]
    for figure in figures:
        found = find_figure(figure, results)
        value, how, run = NOT_RUN, "", ", ".join(figure.results)
        if found is not None:
            value, how, run = _format_value(figure, found), found.how, found.run
        rows.append((figure.what, value, _format_budget(figure, found), how, run, figure.carried_by))
    return "".join(f"| {' | '.join(row)} |\n" for row in rows)

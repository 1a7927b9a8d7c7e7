"""Formats figures as a Markdown table."""

from __future__ import annotations

from collections.abc import Sequence

from scale.capacity.evaluation import Evaluation, Results, evaluate_figure
from scale.capacity.figures import Figure
from scale.capacity.numbers import format_number

NOT_RUN = "not run yet"
_HEADER = ("what", "figure", "budget", "how it was found", "run", "carried by")


def _format_value(figure: Figure, evaluation: Evaluation) -> str:
    text = format_number(evaluation.value)
    minimum, maximum = format_number(evaluation.minimum), format_number(evaluation.maximum)
    if minimum != maximum:
        text += f" ({minimum} to {maximum})"
    text = f"{'at least ' if evaluation.is_lower_bound else ''}{text} {figure.unit}".strip()
    return f"**{text}**" if _violates_budget(figure, evaluation) else text


def _violates_budget(figure: Figure, evaluation: Evaluation) -> bool:
    """Return whether the worst of the values is beyond the budget."""
    if figure.budget is None:
        return False
    return (
        evaluation.minimum < figure.budget if figure.budget_is_least else evaluation.maximum > figure.budget
    )


def _format_budget(figure: Figure, evaluation: Evaluation | None) -> str:
    if figure.budget is None:
        return ""
    bound = "at least " if figure.budget_is_least else ""
    text = f"{bound}{format_number(figure.budget)} {figure.unit}".strip()
    if evaluation is not None and not figure.budget_is_least and evaluation.maximum > figure.budget:
        text += f" (x {format_number(evaluation.maximum / figure.budget)})"
    return text


def format_figures(figures: Sequence[Figure], results: Results) -> str:
    """Format a Markdown table; values beyond their budget are bold."""
    rows = [_HEADER, tuple("---" for _ in _HEADER)]
    for figure in figures:
        evaluation = evaluate_figure(figure, results)
        value, derivation, runs = NOT_RUN, "", ", ".join(figure.results)
        if evaluation is not None:
            value, derivation, runs = (
                _format_value(figure, evaluation),
                evaluation.derivation,
                evaluation.runs,
            )
        rows.append(
            (figure.what, value, _format_budget(figure, evaluation), derivation, runs, figure.carried_by)
        )
    return "".join(f"| {' | '.join(row)} |\n" for row in rows)

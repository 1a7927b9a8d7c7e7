"""The rig's command line: `python -m scale`."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import Annotated

import structlog
import typer

from scale.capacity.figures import read_figures
from scale.capacity.page import fill_page
from scale.demo.report import format_outcome
from scale.demo.run import run_demo
from scale.errors import ScaleError
from scale.kinds import load_experiment, run_experiment
from scale.logs import configure_logs
from scale.memory.run import run_scenario
from scale.memory.scenario import draw_scenario
from scale.plots import write_plots
from scale.report import format_table
from scale.results import ResultWriter, read_results
from scale.slopes import fit_slopes, format_slopes
from scale.suite import EXPERIMENTS_FOLDER, RESULTS_FOLDER, TIME_LIMIT_S, find_experiments, run_suite

EXIT_CHECK_FAILED = 1
EXIT_BAD_INPUT = 2

CAPACITY_PAGE = RESULTS_FOLDER.parent.parent / "CAPACITY.md"
FIGURES_FILE = RESULTS_FOLDER.parent / "figures.toml"

app = typer.Typer(no_args_is_help=True, add_completion=False, help="Measure the sidecar at fleet size.")
log = structlog.get_logger()


@app.callback()
def set_up(verbose: Annotated[bool, typer.Option(help="Log debug messages, too.")] = False) -> None:
    """Set up the logs for every command."""
    configure_logs(verbose)


@app.command()
def run(
    experiments: Annotated[list[Path], typer.Argument(help="Experiment files (TOML).")],
    results: Annotated[Path, typer.Option(help="File to append the measurements to, as JSON lines.")],
) -> None:
    """Run experiments one after another."""
    loaded_experiments = [load_experiment(path) for path in experiments]
    for experiment in loaded_experiments:
        log.info("experiment started", experiment=experiment.name, kind=experiment.kind, seed=experiment.seed)
        with ResultWriter(results, experiment) as writer:
            run_experiment(experiment, writer)
        log.info("experiment ended", experiment=experiment.name, results=str(results))


@app.command()
def suite(
    results: Annotated[Path, typer.Option(help="Folder of the results, one file each.")] = RESULTS_FOLDER,
    experiments: Annotated[Path, typer.Option(help="Folder of the experiment files.")] = EXPERIMENTS_FOLDER,
) -> None:
    """Run the complete set of experiments, without the small ones for tests."""
    elapsed_s = run_suite(find_experiments(experiments), results)
    log_message = log.warning if elapsed_s > TIME_LIMIT_S else log.info
    log_message("suite ended", elapsed_s=round(elapsed_s, 1), limit_s=TIME_LIMIT_S, results=str(results))


@app.command()
def report(
    results: Annotated[list[Path], typer.Argument(help="Results files (JSON lines).")],
    plots: Annotated[Path | None, typer.Option(help="Folder for plots (PNG).")] = None,
    against: Annotated[str, typer.Option(help="Label on the horizontal axis of the plots.")] = "servers",
) -> None:
    """Print results as a table, and optionally plot them."""
    measurements = read_results(results)
    typer.echo(format_table(measurements))
    if plots is not None:
        for path in write_plots(measurements, against, plots):
            log.info("plot written", path=str(path))


@app.command()
def slopes(
    results: Annotated[list[Path], typer.Argument(help="Results files (JSON lines).")],
    against: Annotated[str, typer.Option(help="Label that was varied.")] = "servers",
    at: Annotated[float, typer.Option(help="Size at which each line is evaluated.")] = 4_900.0,
) -> None:
    """Fit a line to each metric against a size, and evaluate it at another size."""
    typer.echo(format_slopes(fit_slopes(read_results(results), against), at))


@app.command()
def page(
    path: Annotated[Path, typer.Argument(help="The page whose tables are filled in.")] = CAPACITY_PAGE,
    figures: Annotated[Path, typer.Option(help="Figures of each table (TOML).")] = FIGURES_FILE,
    results: Annotated[Path, typer.Option(help="Folder of the results.")] = RESULTS_FOLDER,
) -> None:
    """Fill in the capacity page's tables from results files."""
    filled = fill_page(path.read_text(encoding="utf-8"), read_figures(figures), results)
    path.write_text(filled, encoding="utf-8")


@app.command()
def memory(
    seed: Annotated[int, typer.Option(min=0, help="Seed of the first run.")] = 1,
    runs: Annotated[int, typer.Option(min=1, help="Number of runs; each has the next seed.")] = 1,
    duration: Annotated[
        float, typer.Option(min=1.0, max=600.0, help="Duration of each load in seconds.")
    ] = 8.0,
    limit: Annotated[int | None, typer.Option(min=1, help="Memory limit in MiB; else drawn.")] = None,
) -> None:
    """Load a sidecar with random peers that use up memory; exit with 0 if it holds its limit in each run."""
    failed_seeds = []
    for each in range(seed, seed + runs):
        scenario = draw_scenario(each, duration, limit)
        outcome = run_scenario(scenario)
        typer.echo(f"{outcome.describe()}\n    {scenario.describe()}")
        for check in outcome.failed_checks():
            typer.echo(f"    CHECK FAILED: {check}")
        if outcome.failed_checks():
            failed_seeds.append(each)
    typer.echo(f"{runs - len(failed_seeds)} of {runs} runs passed; failed seeds: {failed_seeds}")
    if failed_seeds:
        raise typer.Exit(EXIT_CHECK_FAILED)


@app.command()
def demo(
    duration: Annotated[
        float, typer.Option(min=3.0, max=60.0, help="Duration of the calls in seconds.")
    ] = 6.0,
    rate: Annotated[float, typer.Option(min=10.0, max=500.0, help="Calls per second.")] = 100.0,
    seed: Annotated[int, typer.Option(min=0, help="Seed of arrivals and service times.")] = 1,
) -> None:
    """Run one real sidecar while a server is drained and another killed; exit with 0 if all checks pass."""
    outcome = run_demo(duration, rate, seed, typer.echo)
    typer.echo(format_outcome(outcome))
    failed_checks = outcome.failed_checks()
    for check in failed_checks:
        typer.echo(f"CHECK FAILED: {check}")
    if failed_checks:
        raise typer.Exit(EXIT_CHECK_FAILED)
    typer.echo("all checks passed")


def main() -> int:
    """Run the command line.

    Returns:
        The exit code: 2 after bad input, which is reported in one line on standard error.
    """
    # SIGTERM raises KeyboardInterrupt, so that the processes of an interrupted experiment are terminated.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        app()
    except ScaleError as error:
        print(f"scale: {error}".replace("\n", " "), file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0

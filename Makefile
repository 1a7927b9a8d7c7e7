BIN = .venv/bin

.PHONY: setup test lint check demo scale

setup:
	sh deploy/build.sh
	cmp -s pyproject.toml .venv/developing.toml || \
		($(BIN)/pip install -q --disable-pip-version-check -e '.[dev]' && cp pyproject.toml .venv/developing.toml)

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

check: lint test

RESULTS = docs/capacity/results

# All experiments whose figures the capacity page gives, within 15 minutes.
scale: setup
	$(BIN)/python -m scale suite --results $(RESULTS)

demo: setup
	$(BIN)/python -m scale demo

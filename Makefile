# Chores, all through this one entry; `make help` lists them.
VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.celerytrail-installed
SECONDS ?= 60
SEED ?= 1

help:  ## List the chores.
	@awk -F':.*## ' '/^[a-z-]+:.*## / {printf "  make %-14s %s\n", $$1, $$2}' $(MAKEFILE_LIST)

$(STAMP): pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --editable '.[console,dev]'
	touch $(STAMP)

install: $(STAMP)  ## Make the virtual environment with all that is needed.

test: install  ## Run all tests.
	$(PY) -m pytest

format: install  ## Format the code and sort its imports.
	$(PY) -m ruff check --fix --exit-zero .
	$(PY) -m ruff format .

check: install  ## Check format, lint and types.
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m mypy

bench: install  ## Measure the decisions under load; writes out/bench.*.
	$(PY) -m bench

bench-quick: install  ## The same with few runs, in under 45 s.
	$(PY) -m bench --quick

.PHONY: help install test format check bench bench-quick

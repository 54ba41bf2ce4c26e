# Tasks of a developer; `make help` lists them.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
export PYTHONPATH := $(CURDIR)
SOURCES := redwingspring harness scripts tests

.DEFAULT_GOAL := help
.PHONY: help demo test scenarios prove-red soak bench bench-path capacity distribution \
	format lint docstrings deploy-check check clean

help:  ## List the tasks.
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/' | expand -t 14

$(STAMP): requirements-ci.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-ci.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)  ## Run the main job on loopback and check its outcomes.
	$(BIN)/python scripts/demo.py

test: $(STAMP)  ## Run the tests.
	$(BIN)/python -m pytest -n 4 tests

scenarios: $(STAMP)  ## Run all scripted scenarios, a row each.
	$(BIN)/python -m harness.runner

prove-red: $(STAMP)  ## Run each scenario without its mechanism; each must fail.
	$(BIN)/python -m harness.runner --without

soak: $(STAMP)  ## Run the fault soak for some minutes with fresh seeds.
	$(BIN)/python -m harness.soak --runs 8

bench: $(STAMP)  ## Compare policies under load; takes minutes, no part of CI.
	$(BIN)/python scripts/bench.py

bench-path: $(STAMP)  ## Measure the time that an entry process adds to a call.
	$(BIN)/python scripts/bench_path.py

capacity: $(STAMP)  ## Measure the slopes behind docs/CAPACITY.md again.
	$(BIN)/python scripts/capacity.py

distribution: $(STAMP)  ## Measure how fast a configuration is in force.
	$(BIN)/python scripts/measure_distribution.py

format: $(STAMP)  ## Format the code.
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

lint: $(STAMP)  ## Check format and lint.
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)

docstrings: $(STAMP)  ## Check docstrings against the NumPy form.
	$(BIN)/numpydoc lint redwingspring/*.py redwingspring/platform/*.py \
	  redwingspring/policy/*.py

deploy-check: $(STAMP)  ## Install what deploy/ lists and start the process with it.
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --upgrade \
	  --target build/deploy -r deploy/requirements.txt
	$(BIN)/python scripts/check_deploy.py build/deploy

check: lint docstrings deploy-check test  ## Everything that CI runs.

requirements-ci.txt: pyproject.toml
	$(BIN)/pip-compile --quiet --strip-extras --extra test --no-emit-index-url \
	  --no-emit-find-links --output-file $@ pyproject.toml

clean:  ## Remove the virtual environment and build results.
	rm -rf $(VENV) build *.egg-info

# Every target does its own set-up; the virtual environment lives in .venv.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test lint format demo binary clean setup

setup: $(STAMP)

$(STAMP): requirements/runtime.txt requirements/dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements/dev.txt
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python tools/run_tests.py

lint: $(STAMP)
	$(BIN)/ruff format --check fescueknot tests tools
	$(BIN)/ruff check fescueknot tests tools
	$(BIN)/flake8 fescueknot tests tools
	$(BIN)/lint-imports --no-cache

format: $(STAMP)
	$(BIN)/ruff check --fix --exit-zero --quiet fescueknot tests tools
	$(BIN)/ruff format fescueknot tests tools

demo: $(STAMP)
	$(BIN)/python -m tools.demo

binary: $(STAMP)
	$(BIN)/python -m tools.build_binary

clean:
	rm -rf $(VENV) build dist

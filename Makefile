PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
FUZZ_STEPS ?= 2000
SEED ?= 1

.PHONY: setup test lint format demo measure binary fuzz slopes clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps -e .
	touch $@

test: setup
	$(BIN)/python -m tests.run

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8

format: setup
	$(BIN)/ruff format .

demo: setup
	$(BIN)/python -m bench.demo

measure: setup
	$(BIN)/python -m bench.measure

slopes: setup
	$(BIN)/python -m bench.slopes

fuzz: setup
	$(BIN)/python -m tests.fuzz --seed $(SEED) --steps $(FUZZ_STEPS)

binary: setup
	rm -rf dist && mkdir -p dist
	$(BIN)/shiv -q -c amaranthslip -p '/usr/bin/env python3' \
		-o dist/amaranthslip -r requirements.runtime.lock .

clean:
	rm -rf build dist $(VENV)

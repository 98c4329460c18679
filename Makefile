PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
FUZZ_STEPS ?= 2000
SEED ?= 1
SEEDS ?= 1
SECONDS ?= 20
SOURCES := $(shell find src/amaranthslip -type f -not -name '*.pyc')

.PHONY: setup test lint format demo measure binary fuzz soak slopes clean

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps -e .
	touch $@

test: setup dist/amaranthslip
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

soak: setup
	$(BIN)/python -m tests.soak.run --seed $(SEED) --seeds $(SEEDS) \
		--seconds $(SECONDS)

binary: dist/amaranthslip

# The libraries change rarely: they are installed and trimmed once.
build/site/.ready: $(VENV)/.ready requirements.runtime.lock release/trim.py
	rm -rf build/site
	$(BIN)/pip install -q --target build/site -r requirements.runtime.lock
	$(BIN)/python release/trim.py build/site
	touch $@

dist/amaranthslip: build/site/.ready pyproject.toml $(SOURCES)
	rm -rf build/lib build/site/amaranthslip* && mkdir -p dist
	$(BIN)/pip install -q --no-deps --no-compile --upgrade \
		--target build/site .
	$(BIN)/shiv -c amaranthslip -p '/usr/bin/env python3' \
		-o $@ --site-packages build/site

clean:
	rm -rf build dist $(VENV)

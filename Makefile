PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := protocol core node gateway cli standins
STAMP := $(VENV)/.installed

.PHONY: setup demo bench soak stops soak-nodes test lint format docs clean

setup: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(PACKAGES:%=packages/%/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -r requirements-dev.txt $(PACKAGES:%=-e packages/%) -e platform
	touch $@

demo: setup
	$(BIN)/python -m damasksaddle_standins demo

bench: setup
	$(BIN)/python -m damasksaddle_standins bench --directory build/bench
	$(BIN)/python -m damasksaddle_standins store-bench

SEED ?= 1
MINUTES ?= 1

soak: setup
	$(BIN)/python -m damasksaddle_standins faults --seed $(SEED) --minutes $(MINUTES)

# Planned stops under callers that keep their connections.
stops: setup
	$(BIN)/python -m damasksaddle_standins stops --seed $(SEED) --minutes $(MINUTES)

# The first version's nodes, in one process on the paused clock.
soak-nodes: setup
	PYTHONHASHSEED=$(SEED) $(BIN)/python -m damasksaddle_standins soak --seed $(SEED) --minutes $(MINUTES)

test: setup
	PYTHONHASHSEED=0 $(BIN)/python -m pytest -n 6 -m "not crowd"
	PYTHONHASHSEED=0 $(BIN)/python -m pytest -m crowd

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

docs: setup
	$(BIN)/mkdocs build --strict --site-dir build/site

clean:
	rm -rf $(VENV)

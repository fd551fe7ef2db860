# Every target creates the virtual environment that it needs from pinned, hashed
# requirements; only CPython 3.11 has to be installed by hand.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.stamp-$(shell sha256sum requirements/dev.txt | cut -c1-12)
export PYTHONPATH := $(CURDIR)/src:$(CURDIR)/tools

.PHONY: test format lint types unit demo bench capacity soak binary clean

$(STAMP):
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements/dev.txt
	touch $(STAMP)

test: format lint types unit

format: $(STAMP)
	$(BIN)/ruff format --check src tests tools

lint: $(STAMP)
	$(BIN)/ruff check src tests tools
	$(BIN)/flake8 src tests tools

types: $(STAMP)
	$(BIN)/mypy

unit: $(STAMP)
	$(BIN)/python -m pytest

# DEMO="--kill" kills an entry process halfway through; DEMO="--roll" restarts
# all entry processes gracefully, one after the other.

demo: $(STAMP)
	$(BIN)/python -m demo $(DEMO)

# Builds a single executable file; see "The binary" in docs/OPERATIONS.md.

binary: $(STAMP)
	$(BIN)/python tools/build_binary.py dist/hawthornpier

bench: $(STAMP)
	PYTHONPATH=$(CURDIR)/src:$(CURDIR) $(BIN)/python -m tools.bench

# Measures the unit costs that docs/CAPACITY.md refers to, and writes them.

capacity: export PYTHONPATH := $(CURDIR)/src:$(CURDIR)/tools

capacity: $(STAMP)
	$(BIN)/python -m capacity docs/capacity.json

# Tests whole processes and the fleet scheduler under faults, with other seeds
# than "make test". The id of a failed test contains its seed N;
# "make soak SEED=N COUNT=1" repeats it.
SEED ?= $(shell date +%s)
COUNT ?= 60

soak: $(STAMP)
	SOAK_SEED=$(SEED) SOAK_COUNT=$(COUNT) $(BIN)/python -m pytest \
		tests/test_node_faults.py tests/test_fleet_faults.py \
		tests/test_fleet_ledger.py tests/test_fleet_restarts.py \
		-k "TestFaultsTogether or TestLedger or TestRestartsTogether"

VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
SOURCES := packages/core/src packages/node/src packages/cli/src packages/standins/src
SECONDS ?= 60
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(addprefix $(CURDIR)/,$(SOURCES)))

.PHONY: setup demo test lint format bench soak clean

setup: $(VENV)/.installed

$(VENV)/.installed: constraints.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt setuptools wheel
	$(BIN)/pip install --quiet --no-build-isolation --constraint constraints.txt \
	  -e packages/core -e packages/node -e packages/standins -e packages/cli \
	  pytest pytest-asyncio hypothesis ruff hdrhistogram matplotlib psutil
	touch $@

demo: setup
	$(BIN)/mangowell demo

test: setup
	$(BIN)/python tests/run.py

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: setup
	$(BIN)/python -m bench $(if $(filter quick,$(BENCH)),--quick)

soak: setup
	$(BIN)/python -m bench.soak --seconds $(SECONDS)

clean:
	rm -rf $(VENV) build

# Set-up and checks. Every target builds the environment it needs.
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PYTHON ?= python3
MANIFESTS := $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
SOURCES := packages platform

.PHONY: demo test format lint check clean

$(STAMP): constraints.txt $(MANIFESTS)
	$(PYTHON) -m venv $(VENV)
	PIP_CONSTRAINT=constraints.txt $(BIN)/pip install --quiet \
		--disable-pip-version-check \
		-e packages/poplarhill -e packages/poplarhilld -e packages/poplarhill-dev \
		-e platform
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m poplarhill_dev demo
	$(BIN)/python -m poplarhill_platform_dev

format: $(STAMP)
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

lint: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)

check: $(STAMP)
	$(BIN)/python -m poplarhill_dev known-red -- packages

test: lint check

clean:
	rm -rf $(VENV)

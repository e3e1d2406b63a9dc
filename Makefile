PYTHON ?= python3.11
SECONDS ?= 20
VENV := .venv
BIN := $(VENV)/bin
BUNDLE ?= examples/mittelland.jsonc
SEED ?= 7

.PHONY: install demo test soak bench capacity format

$(VENV)/.installed: requirements.txt constraints.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt -c constraints.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

install: $(VENV)/.installed

demo: install
	$(BIN)/python -m cardamomdrift.demo --bundle $(BUNDLE) $(if $(STAY),--stay)

test: install
	$(BIN)/ruff check cardamomdrift tests bench soak
	$(BIN)/ruff format --check cardamomdrift tests bench soak
	PYTHONHASHSEED=0 $(BIN)/python -W error::ResourceWarning -m tests.run

soak: install
	$(BIN)/python -m soak $(SEED) $(SECONDS)

bench: install
	$(BIN)/python -m bench.measures --seed $(SEED)

capacity: install
	bench/capacity.sh

format: install
	$(BIN)/ruff check --fix cardamomdrift tests bench soak
	$(BIN)/ruff format cardamomdrift tests bench soak

# Every target sets up the virtual environment first if it is missing.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed-catkinhollow

.PHONY: setup demo test check format generate fuzz soak bench-processor

setup: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements.txt
	touch $(STAMP)

demo: setup
	$(BIN)/python -m catkinhollow demo

test: setup
	$(BIN)/python tools/run_tests.py

fuzz: setup
	$(BIN)/python -m tools.fuzz --minutes 5 --seed $${SEED:-1}

soak: setup
	$(BIN)/python -m tools.soak --seed $${SEED:-1} --seeds $${SEEDS:-5}

bench-processor: setup
	$(BIN)/python -m tools.bench_processor $(if $(BASE),--base $(BASE))

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python tools/check_generated.py
	$(MAKE) test

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate: setup
	$(BIN)/python tools/generate.py

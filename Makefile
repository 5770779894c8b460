VENV ?= .venv
BIN := $(VENV)/bin
TEST_PROCESSES ?= 6
SEEDS ?= 1-10

.PHONY: venv lint test demo bench bench-fleet bench-slopes soak

venv: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[test]'
	touch $@

lint: venv
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

test: lint
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) --dist worksteal

demo: venv
	$(BIN)/greengage-bench demo

bench: venv
	$(BIN)/greengage-bench latency

bench-fleet: venv
	$(BIN)/greengage-bench fleet

bench-slopes: venv
	$(BIN)/greengage-bench slopes

soak: venv
	$(BIN)/python -m greengageflow.lab.bench soak --seeds $(SEEDS)

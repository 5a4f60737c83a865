# Commands of the project. Each makes the virtual environment when missing.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: venv format lint test fuzz demo bench scale plots soak

venv: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
		-c constraints.txt -e '.[dev]'
	touch $(STAMP)

format: venv
	$(PYTHON) -m ruff format .

lint: venv
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m flake8

test: venv
	$(PYTHON) -m pytest

fuzz: venv
	$(PYTHON) -m pytest tests --ignore-glob='*processes*' \
		--hypothesis-profile=fuzz --hypothesis-seed=$${SEED:-1}

demo: venv
	$(PYTHON) -m benchmarks.demo

soak: venv
	$(PYTHON) -m tests.soak.runner --seeds $${SEEDS:-1-50} $(SOAK_FLAGS)

bench: venv
	$(PYTHON) -m benchmarks.overload

scale: venv
	$(PYTHON) -m benchmarks.scale

plots: venv
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
		-c constraints.txt -e '.[plots]'
	$(PYTHON) -m benchmarks.plots

# Commands of the project. Each makes the virtual environment when missing.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
WORKERS ?= 6
KNOWN_RED := $(if $(STRICT),,-p tests.known_red)

.PHONY: venv format lint test fuzz demo bench plots soak

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

# Tests in virtual time run in parallel, and those on the machine's clock after
# them, one at a time. The failures of tests listed in KNOWN-RED.txt count with
# STRICT=1 only.
test: venv
	status=0; \
	$(PYTHON) -m pytest $(KNOWN_RED) -n $(WORKERS) -m 'not real_time' \
		|| status=1; \
	$(PYTHON) -m pytest $(KNOWN_RED) -m real_time || status=1; \
	exit $$status

fuzz: venv
	$(PYTHON) -m pytest tests --ignore-glob='*processes*' \
		--hypothesis-profile=fuzz --hypothesis-seed=$${SEED:-1}

demo: venv
	$(PYTHON) -m benchmarks.demo

soak: venv
	$(PYTHON) -m tests.soak.runner --seeds $${SEEDS:-1-50} $(SOAK_FLAGS)

bench: venv
	$(PYTHON) -m benchmarks.overload
	$(PYTHON) -m benchmarks.memory

plots: venv
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
		-c constraints.txt -e '.[plots]'
	$(PYTHON) -m benchmarks.plots

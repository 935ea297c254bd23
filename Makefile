# VENV may name an existing virtual environment to use in place of .venv.
VENV ?= .venv
PYTHON = $(VENV)/bin/python

.PHONY: demo test lint bench proof clean

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(VENV)/.installed
	$(PYTHON) -m bench.demo

# `make -k bench` goes on after a bench that misses a bar.
BENCHES = cost flood-telar flood-magnolia retries outcomes claims-faults claims-cost \
	silence configuration takeover capacity maintenance leaving placement \
	placement_faults control_cost slopes_log slopes_rules slopes_host_list \
	slopes_placement slopes_maintenance slopes_jobs

bench: $(addprefix bench-,$(BENCHES))

bench-%: $(VENV)/.installed
	$(PYTHON) -m bench.$(subst -, ,$*)

test: $(VENV)/.installed
	$(PYTHON) -m azurelanding.tests

lint: $(VENV)/.installed
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

proof: $(VENV)/.installed
	$(PYTHON) -m bench.proof

clean:
	rm -rf .venv build *.egg-info

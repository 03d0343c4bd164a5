# All set-up happens in $(VENV); both need Python 3.11, pip and make.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: demo test lint types names proto binary reference docs golden capacity soak

$(VENV)/.installed-main: requirements/main.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check --require-hashes -r requirements/main.lock
	touch $@

$(VENV)/.installed-dev: requirements/dev.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check --require-hashes -r requirements/dev.lock
	touch $@

demo: $(VENV)/.installed-main
	$(BIN)/python -m mulberrypaddle demo

# ARGS is passed to pytest.
ARGS ?=
test: $(VENV)/.installed-dev
	$(BIN)/python -m pytest $(ARGS)

lint: $(VENV)/.installed-dev
	$(BIN)/ruff format --check -q .
	$(BIN)/ruff check -q .

types: $(VENV)/.installed-dev
	$(BIN)/mypy

proto: $(VENV)/.installed-dev
	tools/generate_proto.sh $(BIN)/python

binary: $(VENV)/.installed-dev
	tools/build_binary.sh $(BIN)

reference: $(VENV)/.installed-dev
	$(BIN)/python tools/make_reference.py

docs: $(VENV)/.installed-dev
	$(BIN)/python tools/make_reference.py --check
	$(BIN)/python tools/check_links.py
	$(BIN)/python tools/check_page_names.py

names: $(VENV)/.installed-dev
	$(BIN)/python tools/check_outer_names.py

golden: $(VENV)/.installed-dev
	MULBERRYPADDLE_WRITE_GOLDEN=1 $(BIN)/python -m pytest tests/test_golden.py

# A short run with fixed seeds; SEEDS and FIRST choose others.
# BESIDE=REVISION plays upgrades from that revision instead of faults.
SEEDS ?= 2
FIRST ?= 1
BESIDE ?=
soak: $(VENV)/.installed-dev
	$(BIN)/python -m soak.platform_soak --seeds=$(SEEDS) --first=$(FIRST) --beside=$(BESIDE)

capacity: $(VENV)/.installed-dev
	for name in control_plane_cost group_control_cost cold_runners never_twice router_cpu_cost; do \
	  $(BIN)/python -m benchmarks.$$name || exit 1; \
	done

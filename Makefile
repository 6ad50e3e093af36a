VENV ?= .venv
PYTHON ?= python3
RUN = $(VENV)/bin/python -m

.PHONY: demo test format check docs bench clean

$(VENV)/.installed: pyproject.toml requirements-dev.lock
	$(PYTHON) -m venv $(VENV)
	$(RUN) pip install --quiet --disable-pip-version-check -r requirements-dev.lock
	$(RUN) pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed
	$(RUN) comfreyhatch.cli.main demo

test: $(VENV)/.installed
	$(RUN) pytest -n 6 --dist loadfile

format: $(VENV)/.installed
	$(RUN) black --quiet comfreyhatch bench tests
	$(RUN) ruff check --quiet --fix comfreyhatch bench tests

check: $(VENV)/.installed
	$(RUN) black --check --quiet comfreyhatch bench tests
	$(RUN) ruff check --quiet comfreyhatch bench tests
	$(RUN) mypy

docs: $(VENV)/.installed
	$(RUN) comfreyhatch.cli.documents docs

clean:
	rm -rf $(VENV) build dist *.egg-info

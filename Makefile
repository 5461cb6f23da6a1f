PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install test lint format demo serve bench proofs proto clean

install: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

test: install
	$(BIN)/nose2 -s tests -t .

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: install
	$(BIN)/python scripts/demo.py

proofs: install
	$(BIN)/python -m benchmarks.check_proofs

# Entries on 127.0.0.1: callers 8080, 8090, 8100; operators 8081, 8091, 8101.
serve: install
	$(BIN)/python scripts/demo.py --serve 8080

bench: install
	$(BIN)/python -m benchmarks

# Needs grpcio-tools; the generated code is committed, so no other target does.
proto:
	$(BIN)/python -m grpc_tools.protoc -I proto --python_out=marjoramfall/borders/rpc --pyi_out=marjoramfall/borders/rpc proto/marjoramfall/v1/admin.proto

clean:
	rm -rf $(VENV)

# The three commands of the project: check, demo and bench.
BUILD ?= build
RUN = $(BUILD)/bin

.PHONY: check demo bench build install format lint test

check: install format lint test

demo: build
	python3 tests/process/demo.py $(RUN)

bench: build
	$(RUN)/savory_bench --out $(BUILD)/bench
	python3 bench/path.py $(RUN)

install:
	tools/install-packages

build: install
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD)

format:
	tools/check-format

lint: build
	tools/check-lint $(BUILD)

test: build
	tools/run-tests $(BUILD)

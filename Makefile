# Shortcuts for common tasks; CMake does the build.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: install build test demo bench prove soak sanitize fuzz docs format lint

install:
	misc/install_packages.sh

build:
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: install build
	cd $(BUILD) && ctest --output-on-failure

# Runs a small two-region fleet on loopback through load, overload and recovery, and checks the outcomes.
demo: install build
	BUILD=$(BUILD) misc/demo.py

# Runs fault injection cases on real processes and checks the callers' records and the targets' journals.
# With other seeds: `make prove SEEDS="--seed 2 --seed 3"`.
SEEDS ?= --seed 1 --seed 2
prove: install build
	BUILD=$(BUILD) misc/prove.py $(SEEDS)

# Fault soak on node processes for about MINUTES with seeds from SEED on; `make soak` plays fresh seeds.
SEED ?= $(shell date +%s)
MINUTES ?= 10
soak: install build
	tests/soak/soak.py --program $(BUILD)/main/fuchsiagauged --seed $(SEED) --seeds $$(( $(MINUTES) * 6 )) --jobs 4

# Overload benchmark on real processes, compared with the naive baseline; takes about 30 s per run.
BENCH ?= --scenarios 1x,2x,5x,10x,surge-retries,slow-store --seeds 1,2
bench: install build
	misc/bench.py --build $(BUILD) $(BENCH)

# Unit tests with the address, leak and undefined behaviour sanitizers.
sanitize:
	cmake -S . -B $(BUILD)-sanitize -G Ninja -DFUCHSIAGAUGE_SANITIZE=ON >/dev/null
	cmake --build $(BUILD)-sanitize -j $(JOBS) --target unit_tests
	$(BUILD)-sanitize/tests/unit_tests

# Fuzzes every parser of untrusted input for FUZZ_SECONDS; needs clang with its runtime (libclang-rt-14-dev).
FUZZ_SECONDS ?= 20
fuzz:
	cmake -S . -B $(BUILD)-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DFUCHSIAGAUGE_FUZZ=ON >/dev/null
	cmake --build $(BUILD)-fuzz -j $(JOBS) --target fuzzers
	misc/run_fuzzers.sh $(BUILD)-fuzz $(FUZZ_SECONDS)

# Generates the settings references and the man pages from the programs.
docs: build
	$(BUILD)/main/fuchsiagauged --settings-reference >docs/SETTINGS.md
	$(BUILD)/main/fuchsiagauged mesh --settings-reference >docs/MESH_SETTINGS.md
	misc/make_man_pages.py $(BUILD)

format:
	misc/check_format.sh

lint: build
	misc/check_lint.sh $(BUILD)

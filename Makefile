BUILD ?= build
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: all setup build test demo measure measure-relay capacity lint format sanitize clean
all: build

# Installs what the build needs from Debian's packages.
setup:
	tools/setup

build: setup
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
	cmake --build $(BUILD)

test: build
	tools/run-tests $(BUILD)

lint: build
	tools/lint $(BUILD)

# Runs the concurrency tests under ThreadSanitizer, then AddressSanitizer.
sanitize: setup
	tools/sanitize

# Drives the decisions under load and writes docs/measurements/load.md.
measure: build
	measure/report $(BUILD) >docs/measurements/load.md

format:
	git ls-files '*.h' '*.cpp' | xargs clang-format-19 -i

clean:
	rm -rf build build-thread build-address

# Runs three failure domains as processes, kills an engine and a daemon, prints a table.
demo: build
	$(BUILD)/bin/demo

# Measures what one daemon relays on this machine.
measure-relay: build
	$(BUILD)/bin/measure_relay

# Works out the target's size from the measured slopes.
capacity: build
	$(BUILD)/bin/measure_capacity

# wigeonlane: `make run` sets up and runs the main job, `make test` builds and runs every test.
BUILD ?= build

.PHONY: setup build test run check format bench

setup:
	tools/install-packages

build: setup
	cmake -G Ninja -S . -B $(BUILD) >/dev/null
	ninja -C $(BUILD)

test: build
	cd $(BUILD) && ctest --output-on-failure --timeout 600

run: build
	tools/run-main-job $(BUILD)

check: build
	tools/check-format
	tools/check-lint $(BUILD)

format:
	git ls-files '*.h' '*.cc' | xargs clang-format -i

bench: build
	$(BUILD)/bench/capacity-bench

# Wrapper around meson and ninja; README.md describes the targets.
BUILD ?= build

SEEDS ?= $(shell seq 1 50)

.PHONY: all setup check demo bench format lint sanitize capacity soak clean

all: setup
	ninja -C $(BUILD)

setup:
	scripts/setup
	test -f $(BUILD)/build.ninja || meson setup $(BUILD)

check: all
	scripts/check $(BUILD)

demo: all
	scripts/demo $(BUILD)

format:
	scripts/format --write

lint: setup
	scripts/format --check
	scripts/lint $(BUILD)

sanitize: setup
	test -f $(BUILD)-asan/build.ninja || meson setup $(BUILD)-asan \
		-Db_sanitize=address,undefined -Db_lundef=false
	ninja -C $(BUILD)-asan
	scripts/check $(BUILD)-asan

bench: all
	scripts/bench $(BUILD)

capacity: all
	scripts/capacity $(BUILD)

soak: all
	scripts/soak $(BUILD) $(SEEDS)

clean:
	rm -rf $(BUILD) $(BUILD)-asan

# Two commands for a newcomer: `make demo` and `make test`. `make help` lists the rest.
SHELL := /bin/bash
BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES := libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev libthrift-dev thrift-compiler \
	prometheus-cpp-dev libabsl-dev libgoogle-glog-dev libcriterion-dev libbenchmark-dev \
	libtomlplusplus-dev libssl-dev liblua5.4-dev librapidcheck-dev libxxhash-dev \
	g++ make cmake ninja-build ccache clang-14 libclang-rt-14-dev clang-format-14 clang-tidy-14 cppcheck \
	spin gnuplot-nox openssl curl python3
SOURCES = $(shell git ls-files '*.cc' '*.h' ':!*/gen/*')
FUZZERS = $(basename $(notdir $(shell git ls-files '*_fuzz.cc')))
CLANG_TIDY_SOURCES = $(shell git ls-files '*.cc' ':!*/gen/*')

.PHONY: help packages build test demo lint format bench scenarios fuzz soak soak-faults sanitize clean

help: ## list the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/' | expand -t 14

packages: ## install the Debian packages that the build declares
	@if dpkg -s $(PACKAGES) >/dev/null 2>&1; then :; else \
	  SUDO=$$([ "$$(id -u)" = 0 ] || echo sudo); \
	  $$SUDO apt-get update -qq && DEBIAN_FRONTEND=noninteractive $$SUDO apt-get install -y -qq --no-install-recommends $(PACKAGES) >/dev/null; fi

$(BUILD)/build.ninja: | packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null

build: $(BUILD)/build.ninja ## compile everything into $(BUILD)
	@flock $(BUILD)/.lock ninja -C $(BUILD) -j $(JOBS) --quiet

test: build ## build and run every test
	@cd $(BUILD) && ctest --output-on-failure -j 6

DEPLOYMENT ?= fjordgrode
demo: build ## the whole path on loopback; DEPLOYMENT=apred for the other fleet
	@deployments/demo.sh $(DEPLOYMENT) $(BUILD)

lint: packages ## clang-format, clang-tidy and cppcheck, clean
	@clang-format-14 --dry-run -Werror $(SOURCES)
	@cmake -S . -B build-lint -G Ninja -DJAYNOTCH_PCH=OFF >/dev/null
	@printf '%s\n' $(CLANG_TIDY_SOURCES) | xargs -P $(JOBS) -n 1 .ci/tidy build-lint
	@cppcheck --quiet --std=c++20 --language=c++ --error-exitcode=1 --enable=warning,performance,portability \
	  --suppressions-list=.ci/cppcheck-suppressions --inline-suppr -I . -j $(JOBS) $(CLANG_TIDY_SOURCES)

sanitize: packages ## every test under the address and undefined-behaviour sanitizers
	@cmake -S . -B build-asan -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS=-O1 -DJAYNOTCH_SANITIZE=address,undefined >/dev/null
	@ninja -C build-asan -j $(JOBS) --quiet
	@cd build-asan && ASAN_OPTIONS=detect_leaks=1 ctest --output-on-failure -j 6

FUZZ_RUNS ?= 20000
fuzz: packages ## each libFuzzer target for FUZZ_RUNS runs, from the corpus in fuzz/corpus
	@cmake -S . -B build-fuzz -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_COMPILER=clang++-14 -DCMAKE_CXX_FLAGS="-O1 -fsanitize=fuzzer-no-link" \
	  -DJAYNOTCH_PCH=OFF -DJAYNOTCH_FUZZ=ON -DJAYNOTCH_SANITIZE=address,undefined >/dev/null
	@ninja -C build-fuzz -j $(JOBS) --quiet $(FUZZERS)
	@for f in $(FUZZERS); do mkdir -p fuzz/corpus/$$f build-fuzz/found/$$f; echo "fuzz $$f"; \
	  build-fuzz/$$f -runs=$(FUZZ_RUNS) -max_len=65536 -verbosity=0 -print_final_stats=0 -artifact_prefix=build-fuzz/ \
	  build-fuzz/found/$$f fuzz/corpus/$$f || exit 1; done

format: ## rewrite the sources in the house format
	@clang-format-14 -i $(SOURCES)

clean: ## remove the build folders
	@rm -rf build build-*

ONLY ?=
SCENARIO_JOBS ?= 4
SOAK_STEPS ?= 1000000
SOAK_SEED ?= 1
soak: build ## long seeded random histories of the groups' cores (SOAK_STEPS, SOAK_SEED)
	@$(BUILD)/jaynotch-soak --steps=$(SOAK_STEPS) --seed=$(SOAK_SEED)

SOAK_FROM ?= 1
SOAK_COUNT ?= 50
SOAK_JOBS ?= 4
soak-faults: build ## real daemons under random faults from outside (SOAK_FROM, SOAK_COUNT seeds)
	@seq $(SOAK_FROM) $$(($(SOAK_FROM) + $(SOAK_COUNT) - 1)) \
	  | xargs -P $(SOAK_JOBS) -I SEED $(BUILD)/jaynotch-fault-soak --programs=$(BUILD) --logs=$(BUILD)/soak --seeds=SEED

bench: build ## the measurements that docs/ quotes, one after another; about a quarter of an hour
	@for program in routing_bench manager_bench spread_bench proxy_bench jaynotch-policy jaynotch-ticket-age \
	  "jaynotch-repair --days=14 --large_days=0 --seed=1"; do echo "== $$program"; $(BUILD)/$$program || exit 1; done
	@echo "== bench/nodes.py"; python3 bench/nodes.py $(BUILD)

scenarios: build ## play the scenarios on real daemons (ONLY=name for one)
	@printf '%s\n' $(if $(ONLY),scenarios/$(ONLY).lua,$(sort $(filter-out scenarios/prelude.lua,$(wildcard scenarios/*.lua)))) \
	  | xargs -P $(SCENARIO_JOBS) -n 1 $(BUILD)/jaynotch-scenario --programs=$(BUILD) --logs=$(BUILD)/scenarios

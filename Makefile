# Every target runs from the root of the workspace.
GO ?= go
BIN := bin

.PHONY: all build test lint race replay fuzz faults soak measure capacity timings demo bench clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/thymerackd ./cmd/thymectl ./standin/cmd/standin

# Formatting, vet, staticcheck, then every test of every module under the race
# detector.
test: lint race replay

# The traces' stated outcomes; the race detector is too slow for all twelve.
replay:
	$(GO) test ./coordination/replay

lint:
	@out=$$(gofmt -l .); if [ -n "$$out" ]; then echo "run gofmt -w on: $$out"; exit 1; fi
	$(GO) vet work
	$(GO) tool staticcheck ./... ./standin/...

race:
	GO=$(GO) scripts/race.sh

# The main job on stand-ins, as separate processes on loopback.
demo: build
	scripts/demo.sh

# The stateful fuzzing for longer, with a seed of its own each time:
# make fuzz CHECKS=2000
CHECKS ?= 500
FUZZED := ./coordination/claim ./coordination/dispatch ./coordination/member ./coordination/order ./coordination/rollout
fuzz:
	$(GO) test -run 'TestHolds|TestCompleteNeverLies' -timeout 0 -count 1 -v $(FUZZED) \
		-rapid.checks=$(CHECKS) -rapid.seed=$$(date +%s)

# Real processes under random faults, with an oracle that looks from outside:
# make faults SEED=7 DURATION=60 DEPLOYMENT=hay
faults: build
	scripts/faults.sh

# Real hosts of the users' platform under seeded faults (docs/SOAK.md):
# make soak SEED=500 SEEDS=50
SEEDS ?= 6
soak:
	$(GO) test ./soak -run 'TestSoak$$' -count 1 -timeout 60m -parallel 6 \
		-soak.seed=$${SEED:-$$(date +%s)} -soak.seeds=$(SEEDS) -soak.keep=out/soak

# The tables of docs/MEASUREMENTS.md, of docs/CAPACITY.md and of docs/BENCHMARKS.md.
measure:
	$(GO) test ./coordination/replay -run TestMeasure -measure -v -timeout 30m

bench: build
	scripts/bench.sh

capacity: build
	scripts/capacity.sh --matrix

timings: build
	scripts/timings.sh 8
	scripts/timings.sh 64

clean:
	rm -rf $(BIN) out

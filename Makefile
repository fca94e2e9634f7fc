# make run    starts a small fleet on loopback and serves a request through it
# make test   runs every test, with the race detector where anything runs concurrently
# make soak   injects random faults into a deployment of real sidecars, with new seeds
# make check  runs the whole gate: formatter, linters, build and tests

.PHONY: run test soak check format build

run: build
	./bin/standin demo

test:
	./.ci/test

soak: build
	./bin/standin soak --seed $$(date +%s) --seeds 8

check:
	./.ci/run

format:
	go tool -modfile=tools/go.mod gofumpt -extra -w .

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

# make run    starts a small fleet on loopback and serves a request through it
# make test   runs every test with the race detector
# make check  runs the whole gate: formatter, linters, build and tests

.PHONY: run test check format build

run: build
	./bin/standin demo

test:
	./.ci/test

check:
	./.ci/run

format:
	go tool -modfile=tools/go.mod gofumpt -extra -w .

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

GO ?= go
BIN := bin
RUN := run

.PHONY: build demo test

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Builds, starts all processes, serves a few hundred mixed requests, checks
# every answer, and stops the processes. The last line is a JSON summary.
demo: build
	@scripts/demo.sh $(RUN)/demo $(BIN) 10 calm --requests 300 --duration 1m

# All tests but those that KNOWN-RED.txt names.
test: build
	@GO="$(GO)" scripts/test.sh

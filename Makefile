GO ?= go
BIN := bin

.PHONY: all build test demo lint generate soak mutants race fuzz bench experiment capacity

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# The gate: everything that CI runs besides formatter and linter.
test:
	$(GO) test -count=1 -timeout 20m ./...

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	bash scripts/check-wire-names.sh
	bash scripts/check-http-clients.sh

# The compiler and the plugins are Go tools of this module.
generate:
	$(GO) build -o $(BIN)/tools/ google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go ./scripts/protogen
	$(BIN)/tools/protogen proto . github.com/bridgehoist/bridgehoist $(BIN)/tools/protoc-gen-go $(BIN)/tools/protoc-gen-connect-go

demo: build
	bash scripts/demo.sh

# Long runs with fresh seeds, which are printed: the fault soak over processes, and the
# random runs in virtual time. SOAK_SEED=S repeats one of the soak's.
# SOAK_STOPS=N is how many stops meet requests at every moment of their grace period.
soak:
	SOAK_SEEDS=$${SOAK_SEEDS:-20} SOAK_STOPS=$${SOAK_STOPS:-8} $(GO) test -count=1 -v -timeout 60m ./internal/soak ./internal/proof ./pkg/stream ./pkg/retry

# Each mechanism switched off in a scratch copy must turn a test red.
mutants:
	bash scripts/mutants.sh

# The tests with the race detector, also in the processes that e2e starts.
race:
	E2E_RACE=1 $(GO) test -race -count=1 ./...

fuzz:
	$(GO) test -run '^$$' -fuzz FuzzParse$$ -fuzztime $${FUZZTIME:-20s} ./pkg/table
	$(GO) test -run '^$$' -fuzz FuzzParse$$ -fuzztime $${FUZZTIME:-20s} ./internal/experiment/scenario
	$(GO) test -run '^$$' -fuzz FuzzParseChunk -fuzztime $${FUZZTIME:-20s} ./internal/engineclient
	$(GO) test -run '^$$' -fuzz FuzzConfiguration -fuzztime $${FUZZTIME:-20s} ./platform
	$(GO) test -run '^$$' -fuzz FuzzEndpoint -fuzztime $${FUZZTIME:-20s} ./platform
	$(GO) test -run '^$$' -fuzz FuzzRecords -fuzztime $${FUZZTIME:-20s} ./platform
	$(GO) test -run '^$$' -fuzz FuzzPatch -fuzztime $${FUZZTIME:-20s} ./pkg/fleet
	$(GO) test -run '^$$' -fuzz FuzzObject -fuzztime $${FUZZTIME:-20s} ./platform
	$(GO) test -run '^$$' -fuzz FuzzReport -fuzztime $${FUZZTIME:-20s} ./platform
	$(GO) test -run '^$$' -fuzz FuzzCaller -fuzztime $${FUZZTIME:-20s} ./platform
	$(GO) test -run '^$$' -fuzz FuzzCopied -fuzztime $${FUZZTIME:-20s} ./platform
	$(GO) test -run '^$$' -fuzz FuzzRegistryBytes -fuzztime $${FUZZTIME:-20s} ./platform
	$(GO) test -run '^$$' -fuzz FuzzStoreAnswer -fuzztime $${FUZZTIME:-20s} ./platform
	$(GO) test -run '^$$' -fuzz FuzzParse$$ -fuzztime $${FUZZTIME:-20s} ./pkg/responsehead
	$(GO) test -run '^$$' -fuzz FuzzAnswer -fuzztime $${FUZZTIME:-20s} ./platform
	$(GO) test -run '^$$' -fuzz FuzzResume -fuzztime $${FUZZTIME:-20s} ./internal/filters/route
	$(GO) test -run '^$$' -fuzz FuzzRecord$$ -fuzztime $${FUZZTIME:-20s} ./internal/peering
	$(GO) test -run '^$$' -fuzz FuzzRequestFacts -fuzztime $${FUZZTIME:-20s} ./internal/peering
	$(GO) test -run '^$$' -fuzz FuzzPartFacts -fuzztime $${FUZZTIME:-20s} ./internal/peering
	$(GO) test -run '^$$' -fuzz FuzzReservations -fuzztime $${FUZZTIME:-20s} ./internal/notices
	$(GO) test -run '^$$' -fuzz FuzzEngineSpeeds -fuzztime $${FUZZTIME:-20s} ./internal/peering
	$(GO) test -run '^$$' -fuzz FuzzWhy -fuzztime $${FUZZTIME:-20s} ./internal/logtrace

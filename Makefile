GO ?= go
BIN := bin
# A fixed seed gives property tests the same verdict on every run; RAPID_SEED=0 draws a new one.
export RAPID_SEED ?= 20261204

.PHONY: build test lint demo bench scenarios soak generate fmt tools settingsdoc

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Scenarios and the soak run real processes with production timeouts, so they run after the other packages, not in parallel.
test:
	{ $(GO) test -count=1 -p 4 -timeout 20m -v $$($(GO) list ./... | grep -v '/scenarios$$\|/platform/soak$$'); \
		$(GO) test -count=1 -p 1 -timeout 20m -v ./scenarios ./platform/soak; } 2>&1 | ./.ci/summarize

lint: tools
	./.ci/lint

demo: build
	$(BIN)/wasabishunt-demo

bench: build
	$(BIN)/wasabishunt-bench

scenarios:
	$(GO) test -count=1 -timeout 20m -v ./scenarios/...

soak:
	$(GO) test -count=1 -timeout 60m -v -run TestSoak ./scenarios/... -args -soak=$(or $(DURATION),5m) -soak-seed=$(or $(SEED),0) -soak-runs=$(or $(RUNS),1)

generate:
	./rpc/generate.sh

settingsdoc:
	$(GO) run ./internal/settingsdoc

tools:
	cd tools && $(GO) build -o ../$(BIN)/tools/ honnef.co/go/tools/cmd/staticcheck mvdan.cc/gofumpt

fmt: tools
	$(BIN)/tools/gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

# Removes each guard listed in docs/guards/ in turn and checks that its test then fails.
.PHONY: guards
guards:
	$(GO) run ./internal/guardcheck $(if $(ONLY),--only "$(ONLY)") docs/guards/*.txt

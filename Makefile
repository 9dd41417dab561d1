# The developer's commands. `make help` lists them.
GO          ?= go
LINTER      := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BINARY      := bin/dragonflygrade
# Packages that decide and do no input or output; they run under the race detector.
DECISIONS   := $(shell for p in clock result position group member audit lease config token session health failover ack pool budget classify route admit outcome spread; do [ -d df$$p ] && echo ./df$$p; done)

.PHONY: help build test lint format proto

help: ## List the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

build: ## Build the program into bin/
	$(GO) build -o $(BINARY) .

test: ## Run every test, the decision packages also under the race detector
	$(GO) vet ./...
	$(GO) test -count=1 -timeout 8m ./...
	$(GO) test -count=1 -timeout 8m -race $(DECISIONS)

lint: ## Check format and lint rules
	$(GO) run $(LINTER) run ./...

format: ## Format the sources
	$(GO) run $(LINTER) fmt ./...

proto: ## Regenerate dfproto (needs protoc and the two Go plugins on PATH)
	protoc --go_out=. --go_opt=module=dragonflygrade --go-grpc_out=. --go-grpc_opt=module=dragonflygrade dfproto/platform.proto dfproto/peer.proto

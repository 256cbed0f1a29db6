# Every chore of the project.
.PHONY: demo test race ci lint format generate bench tools

demo: ## run the main job on the embedded example
	go run ./cmd/willowctl demo

test: ## run the tests
	go test ./... ./cmd/...

race: ## run the tests with the race detector
	go test -race ./... ./cmd/...

ci: ## run what CI runs
	bash .ci/run

lint: ## run the linter
	$$(go env GOPATH)/bin/revive -config .revive.toml -set_exit_status -formatter friendly -exclude ./gen/... ./... ./cmd/...

format: ## format the sources
	$$(go env GOPATH)/bin/gofumpt -w $$(git ls-files '*.go' | grep -v '^gen/')

generate: ## generate gen/ from design/
	goa gen github.com/willowwick/willowwick/design && rm -rf gen/http/cli

bench: ## run the benchmarks
	go test -run '^$$' -bench . -benchmem ./...

tools: ## install the formatter, the linter and the language server, whose renames follow every use
	go install mvdan.cc/gofumpt@v0.12.0
	go install github.com/mgechev/revive@v1.17.0
	go install golang.org/x/tools/gopls@v0.22.0

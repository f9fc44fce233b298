.PHONY: build test demo generate bench lint experiment

BIN := bin

build:
	go build -o $(BIN)/ ./cmd/... ./test/standin

test:
	go test -count=1 $${SKIP:+-skip "$$SKIP"} ./...

demo: build
	$(BIN)/comfreycart demo

generate:
	PATH="$$(go env GOPATH)/bin:$$PATH" go generate ./...

experiment:
	go run ./test/experiment -out out/experiment

bench:
	go test -run '^$$' -bench . -benchmem ./...

lint:
	test -z "$$(gofmt -l cmd internal platform test)"
	go vet ./...
	go tool staticcheck ./...

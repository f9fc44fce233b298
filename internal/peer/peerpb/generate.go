// Package peerpb holds the generated messages that nodes exchange.
package peerpb

//go:generate sh -c "GOBIN=$(pwd)/.gen go install google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc && PATH=$(pwd)/.gen:$PATH protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto; rm -rf .gen"

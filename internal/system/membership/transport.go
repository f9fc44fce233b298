package membership

import (
	"context"

	"comfreycart.dev/comfreycart/internal/peer"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
)

// Transport sends membership messages to other nodes. It is safe for concurrent use.
type Transport interface {
	// Sync exchanges gossip messages with the node at address.
	Sync(ctx context.Context, address string, req *peerpb.SyncRequest) (*peerpb.SyncReply, error)
	// Probe asks the node at address to probe the node that req names.
	Probe(ctx context.Context, address string, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error)
}

// NewTransport returns a transport that sends messages through client.
func NewTransport(client *peer.Client) Transport { return rpcTransport{client} }

type rpcTransport struct{ client *peer.Client }

func (t rpcTransport) Sync(ctx context.Context, address string, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return t.client.To(ctx, address).Sync(ctx, req)
}

func (t rpcTransport) Probe(ctx context.Context, address string, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return t.client.To(ctx, address).Probe(ctx, req)
}

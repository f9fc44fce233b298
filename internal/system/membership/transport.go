package membership

import (
	"context"

	"comfreycart.dev/comfreycart/internal/peer"
	"comfreycart.dev/comfreycart/internal/peer/peerpb"
)

// Transport carries messages to other nodes. It is safe for concurrent use.
type Transport interface {
	Sync(ctx context.Context, address string, req *peerpb.SyncRequest) (*peerpb.SyncReply, error)
	Probe(ctx context.Context, address string, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error)
}

// NewTransport returns the transport over the nodes' own connections.
func NewTransport(client *peer.Client) Transport { return rpcTransport{client} }

type rpcTransport struct{ client *peer.Client }

func (t rpcTransport) Sync(ctx context.Context, address string, req *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return t.client.To(ctx, address).Sync(ctx, req)
}

func (t rpcTransport) Probe(ctx context.Context, address string, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return t.client.To(ctx, address).Probe(ctx, req)
}

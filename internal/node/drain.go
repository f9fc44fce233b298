package node

import (
	"context"
	"net/http"
	"time"
)

const (
	// maxLeaveNotice is how long a leaving node still accepts callers' requests while it
	// refuses other nodes' calls, so that all of them have switched to other nodes before it
	// closes anything.
	maxLeaveNotice = 2 * time.Second
	// noticeDivisor bounds the notice to this fraction (1/n) of a short drain time. Mesh.stop
	// allows twice that fraction of its stop time.
	noticeDivisor = 4
	// acceptDivisor is the fraction (1/n) of the stop time after which a stopping node refuses
	// the requests that it has received whole only then, so that those before can finish.
	acceptDivisor = 2
	// outcomeQueryWindow is how long the node still answers queries of other nodes whether a
	// call whose connection was lost has run. It exceeds the timeout of such a query.
	outcomeQueryWindow = 600 * time.Millisecond
	// closeMargin is the time reserved for closing the listeners if calls take all of the
	// drain time.
	closeMargin = 500 * time.Millisecond
)

// drain performs the planned stop within the configured time. Each step waits until nothing
// depends on what it shuts down: the node first refuses new calls and notifies the other
// nodes, then callers disconnect, running calls and their sub-calls finish, and connections
// close. Callers' requests that come too late to be waited for are refused.
func (n *Node) drain() {
	drainTimeout := n.Config.DrainTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	drainCtx, cancelDrain := context.WithTimeout(ctx, max(drainTimeout-outcomeQueryWindow-closeMargin, 0))
	defer cancelDrain()

	n.leaving.Store(true)
	defer time.AfterFunc(drainTimeout/acceptDivisor, n.Gate.Drain).Stop()
	n.Server.Drain()
	notice := time.After(min(maxLeaveNotice, drainTimeout/noticeDivisor))
	ownedSlots := n.Claims.OwnedSlots()
	n.Homes.StopActing()
	n.Membership.Leave(drainCtx)
	n.Claims.HandOver(drainCtx, ownedSlots)
	<-notice

	n.callers.shutdown(drainCtx)
	n.Server.WaitIdle(drainCtx)
	n.PeerServer.CloseConnections(drainCtx)
	sleepContext(ctx, outcomeQueryWindow)
	for _, s := range n.servers {
		_ = s.Shutdown(ctx)
		_ = s.Close()
	}
	n.Shares.ReturnTokens(ctx)
	_ = n.PeerClient.Close()
}

// closeConnectionsWhileLeaving makes callers of a leaving node reconnect to another one: the
// response header closes an HTTP/1.1 connection, and makes the server send GOAWAY on an HTTP/2
// connection.
func (n *Node) closeConnectionsWhileLeaving(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// sleepContext waits for d or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

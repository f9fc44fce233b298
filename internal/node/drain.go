package node

import (
	"context"
	"net/http"
	"time"
)

const (
	// maxLeaveNotice is how long a leaving node still takes callers' requests and refuses
	// other nodes' calls, so that all have turned elsewhere before it closes anything.
	maxLeaveNotice = 2 * time.Second
	// noticeDivisor is the part of a short drain time that the notice takes, as a divisor.
	noticeDivisor = 4
	// outcomeQueryWindow is how long the node still answers whether a call that was lost with
	// its connection has run; it exceeds the time that the asking node waits.
	outcomeQueryWindow = 600 * time.Millisecond
	// closeMargin is kept for closing the listeners when calls take all of the drain time.
	closeMargin = 500 * time.Millisecond
)

// drain is the planned stop, within the configured bound. Each step is taken only
// when nobody needs what it takes away: first new calls are refused and the others
// told, then callers leave, calls and their sub-calls finish, and connections close.
func (n *Node) drain() {
	bound := n.Config.DrainTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	finish, cancelFinish := context.WithTimeout(ctx, max(bound-outcomeQueryWindow-closeMargin, 0))
	defer cancelFinish()

	n.leaving.Store(true)
	n.Server.Drain()
	notice := time.After(min(maxLeaveNotice, bound/noticeDivisor))
	claimed := n.Claims.OwnedSlots()
	n.Homes.StopActing()
	n.Membership.Leave(finish)
	n.Claims.HandOver(finish, claimed)
	<-notice

	n.callers.shutdown(finish)
	n.Server.WaitIdle(finish)
	n.PeerServer.CloseConnections(finish)
	sleepContext(ctx, outcomeQueryWindow)
	for _, s := range n.servers {
		_ = s.Shutdown(ctx)
		_ = s.Close()
	}
	n.Shares.ReturnTokens(ctx)
	_ = n.PeerClient.Close()
}

// closeConnectionsWhileLeaving tells callers, while the node leaves, to connect elsewhere: the answer
// closes an HTTP/1.1 connection, and an HTTP/2 one gets GOAWAY.
func (n *Node) closeConnectionsWhileLeaving(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

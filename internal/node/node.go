// Package node assembles a node from its components and runs it from start to planned stop
// (graceful shutdown). Node accepts changes of the settings through its admin listener. Mesh is
// the variant for a service mesh, where operators write the settings to the platform's store.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"

	"comfreycart.dev/comfreycart/internal/api"
	"comfreycart.dev/comfreycart/internal/api/admin"
	"comfreycart.dev/comfreycart/internal/api/backend"
	"comfreycart.dev/comfreycart/internal/api/caller"
	"comfreycart.dev/comfreycart/internal/api/egress"
	"comfreycart.dev/comfreycart/internal/certs"
	"comfreycart.dev/comfreycart/internal/config"
	"comfreycart.dev/comfreycart/internal/entry"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/peer"
	"comfreycart.dev/comfreycart/internal/system"
	"comfreycart.dev/comfreycart/internal/system/claims"
	"comfreycart.dev/comfreycart/internal/system/fence"
	"comfreycart.dev/comfreycart/internal/system/homes"
	"comfreycart.dev/comfreycart/internal/system/membership"
	"comfreycart.dev/comfreycart/internal/system/serve"
	"comfreycart.dev/comfreycart/internal/system/settingsync"
	"comfreycart.dev/comfreycart/internal/system/shares"
	"comfreycart.dev/comfreycart/internal/tcp"
)

const (
	// expiryInterval is how often expired fences and claims are removed.
	expiryInterval = 10 * time.Second
	// maxConnections bounds the open connections of each listener.
	maxConnections = 16384
)

// Node is a node of a deployment without a mesh. Its exported fields are provided by wire.
type Node struct {
	Config     *config.Node
	Log        zerolog.Logger
	Metric     *metric.Set
	Gate       *entry.Gate
	Caller     *caller.Handler
	Backend    *backend.Handler
	Egress     *egress.Handler
	Admin      *admin.Handler
	PeerServer *peer.Server
	PeerClient *peer.Client
	Follower   *settingsync.Follower
	Membership *membership.Manager
	Homes      *homes.Manager
	Shares     *shares.Manager
	Fences     *fence.Table
	Server     *serve.Server
	Claims     *claims.Manager

	// callers serves the caller listener; servers holds the HTTP servers of all listeners but
	// the peer listener, including that of callers.
	callers *callerServer
	servers []*http.Server
	leaving atomic.Bool
	wg      sync.WaitGroup
}

// Run serves until ctx ends, then performs a planned stop: it refuses new calls, finishes the
// running ones, and returns nil. It returns an error only if the node could not start.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer n.wg.Wait()
	defer stop()
	if err := n.start(background); err != nil {
		n.closeListeners()
		return err
	}
	n.Log.Info().Msg("node started")
	<-ctx.Done()
	n.Log.Info().Msg("planned stop")
	n.drain()
	n.Log.Info().Msg("node stopped")
	return nil
}

func (n *Node) start(ctx context.Context) error {
	peerListener, err := tcp.Listen(ctx, n.Config.Listen.Peer)
	if err != nil {
		return trace.Wrap(err, "listening at /listen/peer")
	}
	peerListener = netutil.LimitListener(peerListener, maxConnections)
	peerListener, err = n.wrapTLS("peer", peerListener, n.Config.TLS.Peer)
	if err != nil {
		return err
	}
	n.wg.Go(func() { _ = n.PeerServer.Serve(ctx, peerListener) })
	if err := n.listen(); err != nil {
		return err
	}
	n.wg.Go(func() { n.Follower.Run(ctx) })
	n.wg.Go(func() { n.Membership.Run(ctx) })
	n.wg.Go(func() { n.Homes.Run(ctx) })
	n.wg.Go(func() { n.Shares.Run(ctx) })
	n.wg.Go(func() { n.Claims.Run(ctx) })
	n.wg.Go(func() { n.runExpiry(ctx) })
	return nil
}

func (n *Node) listen() error {
	l := n.Config.Listen
	listeners := []struct {
		name, address string
		files         *certs.Files
		handler       http.Handler
	}{
		{"caller", l.Caller, n.Config.TLS.Caller, n.closeConnectionsWhileLeaving(n.Caller)},
		{"backend", l.Backend, nil, n.Backend.Routes()},
		{"egress", l.Egress, nil, n.Egress},
		{"admin", l.Admin, n.Config.TLS.Admin, n.Admin.Routes()},
		{"metrics", l.Metrics, nil, metricsHandler(n.Metric)},
	}
	for _, x := range listeners {
		lis, err := net.Listen("tcp", x.address)
		if err != nil {
			return trace.Wrap(err, "listening at /listen/%s", x.name)
		}
		lingering := tcp.NewLingerListener(lis, func(err error) {
			n.Log.Warn().Err(err).Str("listener", x.name).Msg("connections are closed without knowing whether callers have received their answers")
		})
		lis = netutil.LimitListener(lingering, maxConnections)
		if lis, err = n.wrapTLS(x.name, lis, x.files); err != nil {
			return err
		}
		server := api.NewServer(x.handler)
		n.servers = append(n.servers, server)
		if x.name == "caller" {
			n.callers = newCallerServer(server, lis, lingering)
			n.wg.Go(func() { n.callers.serve(n.Log) })
			continue
		}
		n.wg.Go(func() { serveHTTP(server, lis, n.Log) })
	}
	return nil
}

// wrapTLS returns a listener that serves TLS on lis, or lis itself if files is nil. The name is
// that of the listener in the configuration.
func (n *Node) wrapTLS(name string, lis net.Listener, files *certs.Files) (net.Listener, error) {
	if files == nil {
		return lis, nil
	}
	source, err := certs.NewSource(*files, n.Log)
	if err != nil {
		return nil, trace.Wrap(err, "/tls/%s", name)
	}
	refused := n.Metric.Counter("comfreycart_tls_refused_total", "listener", name)
	return certs.NewListener(lis, source, n.Log, refused.Inc), nil
}

// serveHTTP serves until the server is closed.
func serveHTTP(s *http.Server, lis net.Listener, log zerolog.Logger) {
	if err := s.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		log.Error().Err(err).Stringer("address", lis.Addr()).Msg("listener failed")
	}
}

func metricsHandler(m *metric.Set) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { m.Write(w) })
	return mux
}

func (n *Node) runExpiry(ctx context.Context) {
	go system.Every(ctx, failureReportInterval, n.Server.ReportFailures)
	system.Every(ctx, expiryInterval, func() {
		n.Fences.Expire()
		n.Claims.Expire()
	})
}

func (n *Node) closeListeners() {
	for _, s := range n.servers {
		_ = s.Close()
	}
}

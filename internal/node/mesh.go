package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"comfreycart.dev/comfreycart/internal/api"
	"comfreycart.dev/comfreycart/internal/api/announce"
	"comfreycart.dev/comfreycart/internal/api/front"
	"comfreycart.dev/comfreycart/internal/api/ready"
	"comfreycart.dev/comfreycart/internal/config"
	"comfreycart.dev/comfreycart/internal/metric"
	"comfreycart.dev/comfreycart/internal/peer"
	"comfreycart.dev/comfreycart/internal/system"
	"comfreycart.dev/comfreycart/internal/system/discover"
	"comfreycart.dev/comfreycart/internal/system/document"
	"comfreycart.dev/comfreycart/internal/system/fence"
	"comfreycart.dev/comfreycart/internal/system/lease"
	"comfreycart.dev/comfreycart/internal/system/membership"
	"comfreycart.dev/comfreycart/internal/system/serve"
	"comfreycart.dev/comfreycart/internal/system/shares"
	"comfreycart.dev/comfreycart/internal/tcp"
	"comfreycart.dev/comfreycart/platform"
)

// Mesh is a node of a service mesh. Its fields are provided by wire.
type Mesh struct {
	Config     *config.Node
	Log        zerolog.Logger
	Metric     *metric.Set
	Front      *front.Server
	Announce   *announce.Handler
	Ready      *ready.Handler
	PeerServer *peer.Server
	PeerClient *peer.Client
	Follower   *document.Follower
	Membership *membership.Manager
	Leases     *lease.Manager
	Shares     *shares.Manager
	Fences     *fence.Table
	Server     *serve.Server
	Finder     *discover.Finder

	callers net.Listener
	servers []*http.Server
	wg      sync.WaitGroup
}

// Run serves until ctx ends, then makes a planned stop and returns nil. An error means
// that the node could not start.
func (n *Mesh) Run(ctx context.Context) error {
	background, end := context.WithCancel(context.Background())
	defer n.waitForGoroutines()
	defer end()
	if err := n.start(background); err != nil {
		n.closeListeners()
		return err
	}
	n.Log.Info().Str("service", n.Config.Mesh.Service).Str("domain", n.Config.Domain).Msg("node started")
	<-ctx.Done()
	n.Log.Info().Dur("bound_ms", n.Config.Mesh.StopTimeout()).Msg("planned stop")
	n.stop()
	n.Log.Info().Msg("node stopped")
	return nil
}

func (n *Mesh) start(ctx context.Context) error {
	peers, err := tcp.Listen(ctx, n.Config.Listen.Peer)
	if err != nil {
		return trace.Wrap(err, "listening at /listen/peer")
	}
	n.wg.Go(func() {
		if err := n.PeerServer.Serve(ctx, peers); err != nil && ctx.Err() == nil {
			n.Log.Error().Err(err).Msg("peers' listener ended")
		}
	})
	if err := n.listen(ctx); err != nil {
		return err
	}
	n.wg.Go(func() { n.Follower.Run(ctx) })
	n.wg.Go(func() { n.Finder.Run(ctx) })
	n.wg.Go(func() { n.Membership.Run(ctx) })
	n.Leases.StoreOnRelease(n.Shares.BucketStates)
	n.wg.Go(func() { n.Leases.Run(ctx) })
	n.wg.Go(func() { n.Shares.Run(ctx) })
	n.wg.Go(func() { system.Every(ctx, expiryInterval, n.Fences.Expire) })
	return nil
}

func (n *Mesh) listen(ctx context.Context) error {
	var err error
	if n.callers, err = tcp.Listen(ctx, n.Config.Listen.Caller); err != nil {
		return trace.Wrap(err, "listening at /listen/caller")
	}
	n.wg.Go(func() {
		if err := n.Front.Serve(n.callers); err != nil {
			n.Log.Error().Err(err).Msg("callers' listener ended")
		}
	})
	listeners := []struct {
		path, address string
		handler       http.Handler
	}{
		{"/listen/backend", n.Config.Listen.Backend, n.Announce.Routes()},
		{"/mesh/ready", n.Config.Mesh.Ready, n.Ready.Routes(platform.PathReady)},
		{"/listen/metrics", n.Config.Listen.Metrics, metricsHandler(n.Metric)},
	}
	for _, x := range listeners {
		lis, err := tcp.Listen(ctx, x.address)
		if err != nil {
			return trace.Wrap(err, "listening at %s", x.path)
		}
		server := api.NewServer(x.handler)
		n.servers = append(n.servers, server)
		n.wg.Go(func() { serveHTTP(server, lis, n.Log) })
	}
	return nil
}

func (n *Mesh) closeListeners() {
	if n.callers != nil {
		_ = n.callers.Close()
	}
	for _, s := range n.servers {
		_ = s.Close()
	}
}

// waitForGoroutines waits for what was started, for a short time: the platform kills a process that
// is still there at the end of its time, and nothing that counts is under way any more.
func (n *Mesh) waitForGoroutines() {
	ended := make(chan struct{})
	go func() {
		n.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(stopMargin / 2):
		n.Log.Warn().Msg("some work had not ended at the end of the planned stop")
	}
}

const (
	// maxStopNotice is how long a stopping node goes on accepting callers: the platform
	// asks twice, a second apart, before it sends them elsewhere.
	maxStopNotice = 2500 * time.Millisecond
	// stopMargin is kept for closing when requests take all of the time.
	stopMargin = 400 * time.Millisecond
	// meshIdlePollInterval is how often a stopping node looks for connections that became idle.
	meshIdlePollInterval = 50 * time.Millisecond
)

// stop is the planned stop, within the configured bound. Callers are served until the
// platform has sent them elsewhere; other nodes are told at once to send calls elsewhere.
func (n *Mesh) stop() {
	bound := n.Config.Mesh.StopTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), bound-stopMargin)
	defer cancel()
	n.Ready.Stop()
	n.Front.Stop()
	notice := time.After(min(maxStopNotice, bound/noticeDivisor*2))
	n.Leases.Stop(ctx)
	n.Server.Drain()
	n.Membership.Leave(ctx)
	<-notice
	_ = n.callers.Close()
	for n.Front.CloseIdle() > 0 && ctx.Err() == nil {
		sleepContext(ctx, meshIdlePollInterval)
	}
	n.Server.WaitIdle(ctx)
	n.PeerServer.CloseConnections(ctx)
	n.Shares.ReturnTokens(ctx)
	for _, s := range n.servers {
		_ = s.Close()
	}
	_ = n.PeerClient.Close()
}

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
	"comfreycart.dev/comfreycart/internal/ingress"
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

// Mesh is a node of a service mesh. Operators write the settings to the platform's store, and
// there are no egress and admin listeners. Its exported fields are provided by wire.
type Mesh struct {
	Config     *config.Node
	Log        zerolog.Logger
	Metric     *metric.Set
	Front      *front.Server
	Ingress    *ingress.Handler
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

// Run serves until ctx ends, then performs a planned stop and returns nil. It returns an error
// only if the node could not start.
func (m *Mesh) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer m.waitForGoroutines()
	defer cancel()
	if err := m.start(background); err != nil {
		m.closeListeners()
		return err
	}
	m.Log.Info().Str("service", m.Config.Mesh.Service).Str("domain", m.Config.Domain).Msg("node started")
	<-ctx.Done()
	m.Log.Info().Dur("bound_ms", m.Config.Mesh.StopTimeout()).Msg("planned stop")
	m.stop()
	m.Log.Info().Msg("node stopped")
	return nil
}

func (m *Mesh) start(ctx context.Context) error {
	peers, err := tcp.Listen(ctx, m.Config.Listen.Peer)
	if err != nil {
		return trace.Wrap(err, "listening at /listen/peer")
	}
	m.wg.Go(func() {
		if err := m.PeerServer.Serve(ctx, peers); err != nil && ctx.Err() == nil {
			m.Log.Error().Err(err).Msg("peer listener failed")
		}
	})
	if err := m.listen(ctx); err != nil {
		return err
	}
	m.Follower.OnRestore(m.Membership.RegisterAgain)
	m.wg.Go(func() { m.Follower.Run(ctx) })
	m.wg.Go(func() { m.Finder.Run(ctx) })
	m.wg.Go(func() { m.Membership.Run(ctx) })
	m.Leases.StoreOnRelease(m.Shares.BucketStates)
	m.wg.Go(func() { m.Leases.Run(ctx) })
	m.wg.Go(func() { m.Shares.Run(ctx) })
	m.wg.Go(func() { system.Every(ctx, expiryInterval, m.Fences.Expire) })
	m.wg.Go(func() { system.Every(ctx, failureReportInterval, m.Server.ReportFailures) })
	return nil
}

func (m *Mesh) listen(ctx context.Context) error {
	var err error
	if m.callers, err = tcp.Listen(ctx, m.Config.Listen.Caller); err != nil {
		return trace.Wrap(err, "listening at /listen/caller")
	}
	m.wg.Go(func() {
		if err := m.Front.Serve(m.callers); err != nil {
			m.Log.Error().Err(err).Msg("caller listener failed")
		}
	})
	listeners := []struct {
		path, address string
		handler       http.Handler
	}{
		{"/listen/backend", m.Config.Listen.Backend, m.Announce.Routes()},
		{"/mesh/ready", m.Config.Mesh.Ready, m.Ready.Routes(platform.PathReady)},
		{"/listen/metrics", m.Config.Listen.Metrics, metricsHandler(m.Metric)},
	}
	for _, x := range listeners {
		lis, err := tcp.Listen(ctx, x.address)
		if err != nil {
			return trace.Wrap(err, "listening at %s", x.path)
		}
		server := api.NewServer(x.handler)
		m.servers = append(m.servers, server)
		m.wg.Go(func() { serveHTTP(server, lis, m.Log) })
	}
	return nil
}

func (m *Mesh) closeListeners() {
	if m.callers != nil {
		_ = m.callers.Close()
	}
	for _, s := range m.servers {
		_ = s.Close()
	}
}

// waitForGoroutines waits a short time for the node's goroutines. It does not wait longer
// because the platform kills a process that exceeds its stop time, and no request or stored
// state depends on them any more.
func (m *Mesh) waitForGoroutines() {
	done := make(chan struct{})
	go func() {
		m.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(stopMargin / 2):
		m.Log.Warn().Msg("some goroutines still run at the end of the planned stop")
	}
}

const (
	// failureReportInterval is the time between two updates of the failure rates of backend
	// servers that the other members are told.
	failureReportInterval = 250 * time.Millisecond
	// maxStopNotice is how long a stopping node still accepts callers: the platform checks
	// readiness twice, a second apart, before it sends callers to other nodes.
	maxStopNotice = 2500 * time.Millisecond
	// stopMargin is the time reserved for closing if requests take all of the stop time.
	stopMargin = 400 * time.Millisecond
	// meshIdlePollInterval is how often a stopping node closes callers' connections that became
	// idle.
	meshIdlePollInterval = 50 * time.Millisecond
)

// stop performs the planned stop within the configured time. Callers are served until the
// platform has sent them to other nodes. From then on, nothing further is read on their connections,
// so that what was read can be answered; what is read too late for that is refused. Other nodes are
// notified at once to send their calls elsewhere.
func (m *Mesh) stop() {
	stopTimeout := m.Config.Mesh.StopTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout-stopMargin)
	defer cancel()
	m.Ready.Stop()
	m.Front.Stop()
	defer time.AfterFunc(stopTimeout/acceptDivisor, m.Ingress.Drain).Stop()
	notice := time.After(min(maxStopNotice, stopTimeout/noticeDivisor*2))
	m.Leases.Stop(ctx)
	m.Server.Drain()
	m.Membership.Leave(ctx)
	<-notice
	m.finishCallers(ctx)
	m.PeerServer.CloseConnections(ctx)
	m.Shares.ReturnTokens(ctx)
	for _, s := range m.servers {
		_ = s.Close()
	}
	_ = m.PeerClient.Close()
}

// finishCallers ends the callers' connections and waits until what was read is answered and no call runs
// on this VM. As long as one does, new connections are accepted, since its backend server may make
// sub-calls.
func (m *Mesh) finishCallers(ctx context.Context) {
	noticeEnd := time.Now()
	for !m.Server.IsIdle() && ctx.Err() == nil {
		m.Front.DrainAcceptedBefore(noticeEnd)
		sleepContext(ctx, meshIdlePollInterval)
	}
	_ = m.callers.Close()
	for m.Front.Drain() > 0 && ctx.Err() == nil {
		sleepContext(ctx, meshIdlePollInterval)
	}
}

package node

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/config"
	"comfreycart.dev/comfreycart/internal/logging"
	"comfreycart.dev/comfreycart/test/loopback"
	"comfreycart.dev/comfreycart/test/standin/instance"
	standin "comfreycart.dev/comfreycart/test/standin/platform"
)

// benchAnswerBytes is the size of an answer of the users' lookups.
const benchAnswerBytes = 5000

// startBenchBackend answers every request at once and keeps its connections.
func startBenchBackend(b *testing.B, address string) {
	body := make([]byte, benchAnswerBytes)
	server := &http.Server{Addr: address, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Seal", "seal")
		_, _ = w.Write(body)
	})}
	go func() { _ = server.ListenAndServe() }()
	b.Cleanup(func() { _ = server.Close() })
}

// startBenchMesh starts a node without a backend server in use and one beside the service, and
// returns the callers' listener of the first.
func startBenchMesh(b *testing.B) string {
	network, err := loopback.Claim()
	require.NoError(b, err)
	b.Cleanup(network.Release)
	store := standin.New()
	lis, err := net.Listen("tcp", network.Address(100, portCaller))
	require.NoError(b, err)
	server := &http.Server{Handler: store.Handler()}
	go func() { _ = server.Serve(lis) }()
	b.Cleanup(func() { _ = server.Close() })
	store.Put(standin.RowName{Table: "op", Key: "config"}, []byte(`{"version":1,
	"routes":{"columns":["name","host","prefix","kind","timeoutMs","targetLatencyMs","priority","maxAttempts","public","service"],"rows":[
	["safe","h","/safe/","safe",2000,1000,1,2,false,"far"]]},
	"services":{"columns":["name"],"rows":[["near"],["far"]]},
	"tenants":{"columns":["name","apiKeys","ratePerS","burst"],"rows":[["t",["k"],1000000,100000]]}}`))
	for i, service := range []string{"near", "far"} {
		at := func(port int) string { return network.Address(i+1, port) }
		cfg := &config.Node{
			ID: fmt.Sprintf("n%d", i+1), Deployment: "d", Domain: "z",
			Listen:   config.Listen{Caller: at(portCaller), Backend: at(portControl), Peer: at(portPeer), Metrics: at(portMetrics)},
			Platform: config.Platform{URL: "http://" + lis.Addr().String()},
			Mesh:     &config.Mesh{Service: service, Backend: at(portBackend), Ready: at(portReady), Domains: []string{"z"}},
		}
		require.NoError(b, cfg.Validate())
		out := logging.NewWriter(discardWriter{})
		n, err := NewMesh(cfg, BaseLog(logging.New(out, cfg.ID).Level(zerolog.InfoLevel)))
		require.NoError(b, err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		b.Cleanup(func() { cancel(); <-done })
		startBenchBackend(b, at(portBackend))
		beat := &instance.Instance{ID: "i-" + cfg.ID, Service: service, Address: at(portBackend), Control: at(portControl), StartedAt: time.Now()}
		go beat.AnnounceUntilDone(ctx, time.Second)
	}
	return network.Address(1, portCaller)
}

// discardWriter takes lines as a pipe does, without keeping them.
type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// BenchmarkMeshRequest is one lookup through two nodes, its caller and backend server
// included.
func BenchmarkMeshRequest(b *testing.B) {
	address := startBenchMesh(b)
	get := func(conn net.Conn, in *bufio.Reader, id int) int {
		_, err := fmt.Fprintf(conn, "GET /safe/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a%d\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer k\r\n\r\n", id)
		require.NoError(b, err)
		resp, err := http.ReadResponse(in, nil)
		require.NoError(b, err)
		buf := make([]byte, benchAnswerBytes+1)
		for err == nil {
			_, err = resp.Body.Read(buf)
		}
		return resp.StatusCode
	}
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", address)
		require.NoError(b, err)
		return conn, bufio.NewReader(conn)
	}
	conn, in := dial()
	require.Eventually(b, func() bool { return get(conn, in, 0) == http.StatusOK }, 20*time.Second, 20*time.Millisecond)
	_ = conn.Close()
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		conn, in := dial()
		defer conn.Close()
		for id := 1; pb.Next(); id++ {
			if status := get(conn, in, id); status != http.StatusOK {
				b.Errorf("status %d", status)
			}
		}
	})
}

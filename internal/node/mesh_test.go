package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/internal/config"
	"comfreycart.dev/comfreycart/test/loopback"
	"comfreycart.dev/comfreycart/test/standin/instance"
	standin "comfreycart.dev/comfreycart/test/standin/platform"
)

// meshFleet is a service mesh of nodes in one process, each with one backend server.
type meshFleet struct {
	t       *testing.T
	network *loopback.Network
	store   *standin.Server
	url     string
	nodes   []*meshNode
	// routeTimeoutMs is the timeout of all routes in the settings.
	routeTimeoutMs int
}

type meshNode struct {
	id, callerAddress, readyAddress string
	config                          *config.Node
	instance                        *instance.Instance
	stopAnnouncing                  context.CancelFunc
	stop                            context.CancelFunc
	done                            chan error
}

// Ports of each node of a mesh.
const (
	portCaller = 7001 + iota
	portReady
	portControl
	portBackend
	portPeer
	portMetrics
)

// startMesh starts one node per element of services, which is the service of its backend
// server.
func startMesh(t *testing.T, services ...string) *meshFleet {
	network, err := loopback.Claim()
	require.NoError(t, err)
	t.Cleanup(network.Release)
	f := &meshFleet{t: t, network: network, store: standin.New(), routeTimeoutMs: 2000}
	server := httptest.NewServer(f.store.Handler())
	t.Cleanup(server.Close)
	f.url = server.URL
	for i, s := range services {
		f.addNode(fmt.Sprintf("n%d", i+1), s)
	}
	return f
}

// startServingMesh starts a mesh whose nodes a and c have a backend server of the service "front", b one of
// "deep", and returns once b has had requests with the key "k1" answered by both of "front".
func startServingMesh(t *testing.T) (f *meshFleet, a, b, c *meshNode) {
	f = startMesh(t, "front", "deep", "front")
	f.publishSettings(2, "k1")
	f.waitUntilReady()
	a, b, c = f.nodes[0], f.nodes[1], f.nodes[2]
	f.waitUntilAllServe(b, "/safe/1", "k1", a, c)
	return f, a, b, c
}

func (f *meshFleet) addNode(id, service string) *meshNode {
	t := f.t
	address := func(port int) string { return f.network.Address(len(f.nodes)+1, port) }
	n := &meshNode{id: id, callerAddress: address(portCaller), readyAddress: address(portReady), done: make(chan error, 1)}
	control, backend := address(portControl), address(portBackend)
	cfg := &config.Node{
		ID: id, Deployment: "d", Domain: "z",
		Listen:   config.Listen{Caller: n.callerAddress, Backend: control, Peer: address(portPeer), Metrics: address(portMetrics)},
		Platform: config.Platform{URL: f.url},
		Mesh: &config.Mesh{
			Service: service, Backend: backend, Ready: n.readyAddress, Domains: []string{"z"}, HeartbeatMs: 200,
			RetryReserve: 500, StopSeconds: 4,
		},
	}
	require.NoError(t, cfg.Validate())
	n.config = cfg
	n.start(t)
	var err error
	n.instance, err = instance.Start("i-"+id, service, backend, control)
	require.NoError(t, err)
	beatCtx, stopBeat := context.WithCancel(context.Background())
	n.stopAnnouncing = stopBeat
	go n.instance.AnnounceUntilDone(beatCtx, 200*time.Millisecond)
	t.Cleanup(func() {
		stopBeat()
		n.instance.Close()
		n.stop()
		n.done <- <-n.done
	})
	f.nodes = append(f.nodes, n)
	return n
}

func (n *meshNode) start(t *testing.T) {
	node, err := NewMesh(n.config, BaseLog(zerolog.New(zerolog.NewTestWriter(t))))
	require.NoError(t, err)
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	go func() { n.done <- node.Run(ctx) }()
}

// restart stops the node as planned and starts it again, without the memory of its last run.
func (n *meshNode) restart(t *testing.T) {
	n.stop()
	require.NoError(t, <-n.done)
	n.start(t)
}

// publishSettings stores an operator's document with the keys of one tenant. It routes /safe/
// and /unsafe/ to "front" and /open/ to "deep".
func (f *meshFleet) publishSettings(version int, keys ...string) {
	list, err := json.Marshal(keys)
	require.NoError(f.t, err)
	f.store.Put(standin.RowName{Table: "op", Key: "config"}, fmt.Appendf(nil, `{"version":%[1]d,
	"routes":{"columns":["name","host","prefix","kind","timeoutMs","targetLatencyMs","priority","maxAttempts","public","service"],"rows":[
	["safe","h","/safe/","safe",%[3]d,1000,1,2,false,"front"],
	["unsafe","h","/unsafe/","unsafe",%[3]d,1000,0,2,false,"front"],
	["open","h","/open/","safe",%[3]d,1000,2,2,true,"deep"]]},
	"services":{"columns":["name","healthPath"],"rows":[["front","/health"],["deep","/health"]]},
	"tenants":{"columns":["name","apiKeys","ratePerS","burst"],"rows":[["t",%[2]s,10000,1000]]}}`, version, list, f.routeTimeoutMs))
}

// waitUntilReady waits until every node reports readiness.
func (f *meshFleet) waitUntilReady() {
	for _, n := range f.nodes {
		require.Eventually(f.t, func() bool {
			resp, err := http.Get("http://" + n.readyAddress + "/comfreycart/readiness")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}, 10*time.Second, 10*time.Millisecond)
	}
}

// attemptCounter makes attempt IDs unique within the process.
var attemptCounter atomic.Int64

// sendRequest sends a request to a node and returns its attempt ID, the response and its body.
func (f *meshFleet) sendRequest(n *meshNode, method, path, key, body string) (string, *http.Response, string) {
	attempt := "a" + strconv.FormatInt(attemptCounter.Add(1), 10)
	req, err := http.NewRequest(method, "http://"+n.callerAddress+path, bytes.NewBufferString(body))
	require.NoError(f.t, err)
	req.Host = "h"
	req.Header.Set("Attempt-Id", attempt)
	req.Header.Set("Deadline-Ms", "3000")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	return attempt, resp, string(text)
}

// waitUntilServed waits until a node answers GET path with status 200.
func (f *meshFleet) waitUntilServed(n *meshNode, path, key string) {
	require.Eventually(f.t, func() bool {
		_, resp, _ := f.sendRequest(n, http.MethodGet, path, key, "")
		return resp.StatusCode == http.StatusOK
	}, 10*time.Second, 50*time.Millisecond)
}

// waitUntilAllServe sends requests for a path to a node until the backend server of every node
// in nodes has run one.
func (f *meshFleet) waitUntilAllServe(n *meshNode, path, key string, nodes ...*meshNode) {
	f.waitUntilServed(n, path, key)
	require.Eventually(f.t, func() bool {
		_, _, _ = f.sendRequest(n, http.MethodGet, path, key, "")
		for _, x := range nodes {
			if len(x.instance.Runs()) == 0 {
				return false
			}
		}
		return true
	}, 10*time.Second, 5*time.Millisecond)
}

// countRuns returns how often backend servers ran an attempt.
func (f *meshFleet) countRuns(attempt string) int {
	n := 0
	for _, x := range f.nodes {
		for _, r := range x.instance.Runs() {
			if r.AttemptID == attempt {
				n++
			}
		}
	}
	return n
}

func TestMeshServesRequestsEndToEnd(t *testing.T) {
	f := startMesh(t, "front", "deep", "front")
	a, b := f.nodes[0], f.nodes[1]
	_, resp, _ := f.sendRequest(b, http.MethodGet, "/safe/1", "k1", "")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "without settings, routes and keys are unknown")
	f.publishSettings(2, "k1")
	f.waitUntilReady()
	for _, n := range f.nodes {
		n.instance.SetSubCall(&instance.SubCall{Outbound: n.callerAddress, Host: "h", Path: "/open/x"})
	}
	b.instance.SetSubCall(nil)
	f.waitUntilServed(b, "/safe/1", "k1")

	attempt, resp, body := f.sendRequest(b, http.MethodPost, "/unsafe/x%2Fy?q=1", "k1", "the body")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "seal", resp.Header.Get("Response-Seal"))
	require.Contains(t, body, "answer to "+attempt)
	require.Equal(t, 1, f.countRuns(attempt))
	require.Equal(t, 1, f.countRuns(attempt+".1"), "sub-call")
	for _, r := range append(a.instance.Runs(), f.nodes[2].instance.Runs()...) {
		require.Equal(t, "t", r.Account)
		require.Equal(t, "deep", r.CallerService)
		require.Empty(t, r.Authorization)
		if r.AttemptID == attempt {
			require.Equal(t, [4]string{"POST", "/unsafe/x%2Fy?q=1", "h", "the body"}, [4]string{r.Method, r.Target, r.Host, r.Body})
		}
	}
	_, resp, _ = f.sendRequest(b, http.MethodGet, "/safe/1", "other", "")
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	_, resp, _ = f.sendRequest(b, http.MethodGet, "/none/1", "k1", "")
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
}

// A shed request did not run: it succeeds at another endpoint or is refused. A request that may
// have run is retried only if it is idempotent, since it could otherwise run twice.
func TestMeshRetriesUnexecutedOrIdempotentRequests(t *testing.T) {
	f, a, b, c := startServingMesh(t)
	a.instance.SetFaults(instance.Faults{Shed: true})
	for range 4 {
		attempt, resp, _ := f.sendRequest(b, http.MethodPost, "/unsafe/1", "k1", "x")
		require.Contains(t, []int{200, 503}, resp.StatusCode)
		if resp.StatusCode == 503 {
			require.Zero(t, f.countRuns(attempt))
		}
	}
	a.instance.SetFaults(instance.Faults{DropAnswer: true})
	c.instance.SetFaults(instance.Faults{DropAnswer: true})
	attempt, resp, _ := f.sendRequest(b, http.MethodPost, "/unsafe/1", "k1", "x")
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, 1, f.countRuns(attempt))
	attempt, resp, _ = f.sendRequest(b, http.MethodGet, "/safe/1", "k1", "")
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, 2, f.countRuns(attempt), "tried at maxAttempts endpoints")
	a.instance.SetFaults(instance.Faults{TruncateAnswer: true})
	c.instance.SetFaults(instance.Faults{ForeignAnswer: true})
	for range 10 {
		attempt, resp, body := f.sendRequest(b, http.MethodGet, "/safe/1", "k1", "")
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Contains(t, body, "answer to "+attempt+" of "+c.instance.ID)
	}
}

// A backend server answers long uploads without a length and resets the connection in the middle of its
// answer. The part that came is no answer.
func TestMeshPassesOnNoAnswerThatWasReset(t *testing.T) {
	f, a, b, c := startServingMesh(t)
	a.instance.SetFaults(instance.Faults{ResetUpload: true})
	c.instance.SetFaults(instance.Faults{ResetUpload: true})
	upload := strings.Repeat("x", 4<<20)
	for range 24 {
		attempt, resp, body := f.sendRequest(b, http.MethodPost, "/unsafe/1", "k1", upload)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode, body)
		require.Empty(t, resp.Header.Get("Response-Seal"))
		require.LessOrEqual(t, f.countRuns(attempt), 1)
	}
}

// A backend server in trouble sends answers whose head HTTP does not allow. They are no answers.
func TestMeshPassesOnNoAnswerWithAMalformedHead(t *testing.T) {
	f := startMesh(t, "front", "deep")
	f.publishSettings(2, "k1")
	f.waitUntilReady()
	a, b := f.nodes[0], f.nodes[1]
	f.waitUntilServed(b, "/safe/1", "k1")
	for name, edit := range map[string][2]string{
		"status 000":              {"200 OK", "000 None"},
		"status 000, no reason":   {"200 OK", "000"},
		"status 099":              {"200 OK", "099 Low"},
		"signed status":           {"200 OK", "+20 OK"},
		"blank in a name":         {"Response-Seal", "X Note: 1\r\nResponse-Seal"},
		"blank before the colon":  {"Content-Length:", "Connection: close\r\nContent-Length :"},
		"blank before the name":   {"Response-Seal", " X-Note: 1\r\nResponse-Seal"},
		"control byte in a name":  {"Response-Seal", "X\x01Note: 1\r\nResponse-Seal"},
		"continuation of a field": {"Content-Length", "\tmore\r\nContent-Length"},
	} {
		t.Run(name, func(t *testing.T) {
			a.instance.SetFaults(instance.Faults{EditAnswer: func(answer string) string {
				return strings.Replace(answer, edit[0], edit[1], 1)
			}})
			for _, x := range []struct{ method, path, body string }{{http.MethodGet, "/safe/1", ""}, {http.MethodPost, "/unsafe/1", "x"}} {
				attempt, resp, body := f.sendRequest(b, x.method, x.path, "k1", x.body)
				require.Equal(t, http.StatusBadGateway, resp.StatusCode, body)
				require.Empty(t, resp.Header.Get("Response-Seal"))
				require.Equal(t, 1, f.countRuns(attempt))
			}
			a.instance.SetFaults(instance.Faults{})
			f.waitUntilServed(b, "/safe/1", "k1")
		})
	}
}

func TestMeshRefusesWithdrawnKeysAndRecoversFromPlatformOutage(t *testing.T) {
	f := startMesh(t, "front")
	f.publishSettings(2, "k1", "k2")
	f.waitUntilReady()
	n := f.nodes[0]
	f.waitUntilServed(n, "/safe/1", "k2")
	f.publishSettings(3, "k1")
	require.Eventually(t, func() bool {
		_, resp, _ := f.sendRequest(n, http.MethodGet, "/safe/1", "k2", "")
		return resp.StatusCode == http.StatusUnauthorized
	}, time.Second, 10*time.Millisecond)
	f.store.SetFaults(standin.Faults{Down: true})
	begin := time.Now()
	require.Eventually(t, func() bool {
		attempt, resp, _ := f.sendRequest(n, http.MethodGet, "/safe/1", "k1", "")
		if resp.StatusCode == http.StatusServiceUnavailable {
			require.Zero(t, f.countRuns(attempt))
			return true
		}
		return false
	}, 10*time.Second, 50*time.Millisecond, "a key may have been withdrawn during the outage")
	require.Less(t, time.Since(begin), config.DefaultKeyStaleness)
	f.store.SetFaults(standin.Faults{})
	f.waitUntilServed(n, "/safe/1", "k1")
}

// A backend server that announced its departure gets no more requests, even from nodes that
// have not learned of it yet.
func TestMeshSendsNothingToALeavingBackendServer(t *testing.T) {
	f, a, b, c := startServingMesh(t)
	status, err := a.instance.Deregister()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	departedAt := time.Now()
	for range 50 {
		_, resp, body := f.sendRequest(b, http.MethodPost, "/unsafe/1", "k1", "x")
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Contains(t, body, c.instance.ID)
	}
	for _, r := range a.instance.Runs() {
		require.False(t, r.At.After(departedAt))
	}
}

// A node acknowledged a departure and was restarted. An announcement of the departed instance that was
// on its way all the while brought it back, and the instance got a request seconds after its departure.
func TestMeshRestartedNodeSendsNothingToADepartedInstance(t *testing.T) {
	f, a, b, c := startServingMesh(t)
	a.stopAnnouncing()
	late := a.instance.Announcement("ready")
	status, err := a.instance.Deregister()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	departedAt := time.Now()
	a.restart(t)
	f.waitUntilReady()
	status, err = a.instance.SendAnnouncement(late)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		_, resp, body := f.sendRequest([]*meshNode{a, b}[time.Now().UnixNano()%2], http.MethodPost, "/unsafe/1", "k1", "x")
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Contains(t, body, c.instance.ID)
	}
	for _, r := range a.instance.Runs() {
		require.False(t, r.At.After(departedAt))
	}

	a.instance.Close()
	restarted, err := instance.Start(a.instance.ID, a.instance.Service, a.instance.Address, a.instance.Control)
	require.NoError(t, err)
	t.Cleanup(restarted.Close)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go restarted.AnnounceUntilDone(ctx, 200*time.Millisecond)
	require.Eventually(t, func() bool {
		f.sendRequest(b, http.MethodPost, "/unsafe/1", "k1", "x")
		return len(restarted.Runs()) > 0
	}, 5*time.Second, 10*time.Millisecond, "the same ID after a restart of the backend server is used")
}

// A planned stop must not fail a request: neither those of callers at the stopping node nor
// those that it runs for other nodes.
func TestMeshPlannedStopCompletesRequests(t *testing.T) {
	f, a, b, c := startServingMesh(t)
	a.instance.SetFaults(instance.Faults{Delay: 300 * time.Millisecond})
	c.instance.SetFaults(instance.Faults{Delay: 300 * time.Millisecond})
	var wg sync.WaitGroup
	var failed atomic.Int64
	until := time.Now().Add(2 * time.Second)
	for i := range 8 {
		wg.Go(func() {
			entry := []*meshNode{a, b}[i%2]
			for time.Now().Before(until) {
				if _, resp, _ := f.sendRequest(entry, http.MethodPost, "/unsafe/1", "k1", "x"); resp.StatusCode != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	a.stop()
	wg.Wait()
	require.Zero(t, failed.Load())
	err := <-a.done
	a.done <- err
	require.NoError(t, err)
}

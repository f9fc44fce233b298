package script

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"comfreycart.dev/comfreycart/test/standin/backend"
)

const (
	chaosNodes           = 6
	chaosDuration        = 12 * time.Second
	chaosWorkers         = 8
	chaosRequestInterval = 30 * time.Millisecond
	faultInterval        = 600 * time.Millisecond
	maxFaultDuration     = 3 * time.Second
	repeatPercent        = 40
	// recoveryTimeout bounds the time between the end of the last fault and the fleet
	// answering every request again.
	recoveryTimeout = 20 * time.Second
)

// sentRequest is one transmission of a request and what came back. A repeated
// request has one entry per transmission, all with the same id.
type sentRequest struct {
	method, id, account string
	response            response
	err                 error
}

// chaosRun sends requests to a fleet while it injects faults, and records each
// response.
type chaosRun struct {
	t    *testing.T
	f    *fleet
	keys map[string]string
	stop chan struct{}

	mu   sync.Mutex
	sent []sentRequest
}

// TestConcurrentFailures guards against guarantees that hold for one fault but not
// for overlapping or repeated ones. Under random faults, a request refused as "not
// run" must not have run, a confirmation must run at most once, and an answer must be
// complete and belong to its request. Afterwards the fleet must answer every request.
func TestConcurrentFailures(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			c := &chaosRun{t: t, f: newFleet(t.TempDir()), keys: map[string]string{}, stop: make(chan struct{})}
			defer c.f.close()
			c.start()
			var wg sync.WaitGroup
			for w := range chaosWorkers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					c.sendUntilStopped(rand.New(rand.NewPCG(seed, uint64(w))))
				}()
			}
			c.injectFaults(rand.New(rand.NewPCG(seed, 1000)))
			close(c.stop)
			wg.Wait()
			c.checkSent()
			c.checkRecovery()
		})
	}
}

// start starts the fleet and its backend servers and waits until all nodes serve.
func (c *chaosRun) start() {
	require.NoError(c.t, c.f.start("vysocina", chaosNodes))
	require.NoError(c.t, c.f.configure(examplesDir()+"/vysocina.json", func(k, v string) {
		if strings.HasPrefix(k, "KEY_") {
			c.keys[k] = v
		}
	}))
	for i := range chaosNodes {
		require.NoError(c.t, c.f.startBackend(nodeName(i), c.service(i), []string{"--slots", "64", "--delay-ms", "3"}))
	}
	for i := range chaosNodes {
		require.NoError(c.t, await(readyTimeout, func() error { return c.f.checkReady(nodeName(i), 1, chaosNodes) }))
	}
	c.awaitServing()
}

// service returns the service that runs beside node i.
func (c *chaosRun) service(i int) string { return []string{"stock", "orders"}[i/failureDomains] }

// awaitServing waits until each node answers a confirmation with status 200.
func (c *chaosRun) awaitServing() {
	for i := range chaosNodes {
		require.NoError(c.t, await(recoveryTimeout, func() error {
			r := c.send("POST", "warm-up-"+uuid.NewString(), "praha-duvets", i, uuid.Must(uuid.NewV7()).String())
			if r.err != nil || r.response.status != 200 {
				return fmt.Errorf("%d %s %v", r.response.status, r.response.reason, r.err)
			}
			return nil
		}))
	}
}

// send sends a lookup (GET) or a confirmation (POST) through a node and waits for its
// response.
func (c *chaosRun) send(method, id, account string, node int, idempotencyKey string) sentRequest {
	path := map[string]string{"GET": "/stock/", "POST": "/orders/"}[method] + id
	req := request{
		url: "http://" + c.f.nodeAddr(node, portCaller), method: method, path: path, body: id,
		apiKey: c.keys["KEY_"+strings.ReplaceAll(account, "-", "_")], idempotencyKey: idempotencyKey,
		header: map[string]string{"Request-Timeout-Ms": "1500"},
	}
	resp, err := req.send()
	return sentRequest{method, id, account, resp, err}
}

// sendUntilStopped sends lookups and confirmations of random accounts until stop is
// closed.
func (c *chaosRun) sendUntilStopped(rng *rand.Rand) {
	accounts := []string{"praha-duvets", "brno-upholstery", "ostrava-sofas"}
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(chaosRequestInterval):
		}
		id, account := uuid.NewString(), accounts[rng.IntN(len(accounts))]
		if rng.IntN(2) == 0 {
			c.record(c.send("GET", id, account, rng.IntN(chaosNodes), ""))
			continue
		}
		c.sendConfirmation(rng, id, account)
	}
}

// sendConfirmation sends a confirmation. With a probability of repeatPercent each time,
// it sends it again under the same idempotency key through a random node, up to 40 ms
// later and without waiting for the response.
func (c *chaosRun) sendConfirmation(rng *rand.Rand, id, account string) {
	key := uuid.Must(uuid.NewV7()).String()
	var wg sync.WaitGroup
	for {
		node := rng.IntN(chaosNodes)
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.record(c.send("POST", id, account, node, key))
		}()
		if rng.IntN(100) >= repeatPercent {
			break
		}
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
	wg.Wait()
}

func (c *chaosRun) record(r sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, r)
}

// injectFaults injects random faults for chaosDuration, at most two at a time, and
// returns after all of them have ended. It skips a fault of a node that already has one.
func (c *chaosRun) injectFaults(rng *rand.Rand) {
	var wg sync.WaitGroup
	faultSlots := make(chan struct{}, 2)
	faultyNodes := &sync.Map{}
	for end := time.Now().Add(chaosDuration); time.Now().Before(end); time.Sleep(faultInterval) {
		faultSlots <- struct{}{}
		node, other, kind := rng.IntN(chaosNodes), rng.IntN(chaosNodes), rng.IntN(6)
		duration := time.Duration(rng.Int64N(int64(maxFaultDuration)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-faultSlots }()
			if _, isFaulty := faultyNodes.LoadOrStore(node, true); isFaulty {
				return
			}
			defer faultyNodes.Delete(node)
			c.injectFault(kind, nodeName(node), nodeName(other), duration)
		}()
	}
	wg.Wait()
}

// injectFault injects one fault, ends it after the given time and returns.
func (c *chaosRun) injectFault(kind int, node, other string, duration time.Duration) {
	switch kind {
	case 0:
		c.reportError(c.f.signal([]string{node}, syscall.SIGKILL))
		time.Sleep(duration)
		p, _ := c.f.process(node)
		<-p.done
		c.reportError(c.f.startNode(node))
	case 1:
		c.reportError(c.f.signal([]string{node}, syscall.SIGSTOP))
		time.Sleep(duration)
		c.reportError(c.f.signal([]string{node}, syscall.SIGCONT))
	case 2:
		c.cutLinkFor(node, other, duration)
	case 3:
		c.cutLinkFor(node, "platform", duration)
	case 4:
		c.failPlatformFor(`{"down":true}`, duration)
	case 5:
		c.failPlatformFor(`{"loseWriteAnswers":true,"failEvery":3,"delayMs":20}`, duration)
	}
}

func (c *chaosRun) cutLinkFor(a, b string, duration time.Duration) {
	c.reportError(c.f.setLink([]string{a, b}, true))
	time.Sleep(duration)
	c.reportError(c.f.setLink([]string{a, b}, false))
}

func (c *chaosRun) failPlatformFor(faults string, duration time.Duration) {
	c.reportError(post("http://"+c.f.platformAddr()+"/control", faults))
	time.Sleep(duration)
	c.reportError(post("http://"+c.f.platformAddr()+"/control", `{}`))
}

// reportError marks the test as failed if err is not nil, and lets it continue.
func (c *chaosRun) reportError(err error) {
	if err != nil {
		c.t.Error(err)
	}
}

// checkSent compares the responses with the backend servers' journals. It also checks
// that no API key reached a backend server.
func (c *chaosRun) checkSent() {
	entriesByID := map[string][]backend.Entry{}
	for i := range chaosNodes {
		entries, err := c.f.journal(nodeName(i), c.service(i))
		require.NoError(c.t, err)
		for _, e := range entries {
			id := e.Path[strings.LastIndexByte(e.Path, '/')+1:]
			entriesByID[id] = append(entriesByID[id], e)
			header, _ := json.Marshal(e.Header)
			for _, key := range c.keys {
				require.NotContains(c.t, string(header), key, "an API key reached a backend server")
			}
		}
	}
	mayHaveRun, counts := map[string]bool{}, map[string]int{}
	for _, r := range c.sent {
		mayHaveRun[r.id] = mayHaveRun[r.id] || r.err != nil || r.response.outcome != "not-run"
		c.checkOne(r, entriesByID[r.id])
		counts[fmt.Sprintf("%s %d %s", r.method, r.response.status, r.response.reason)]++
	}
	for _, r := range c.sent {
		if !mayHaveRun[r.id] {
			require.Empty(c.t, entriesByID[r.id], "%s %s was refused as not run", r.method, r.id)
		}
	}
	c.t.Logf("outcomes: %v", counts)
}

// checkOne checks one response against the journal entries of its request.
func (c *chaosRun) checkOne(r sentRequest, entries []backend.Entry) {
	if r.method == "POST" {
		require.LessOrEqual(c.t, len(entries), 1, "confirmation %s ran twice", r.id)
	}
	for _, e := range entries {
		require.Equal(c.t, r.account, e.Account, "request %s", r.id)
	}
	if r.err != nil || r.response.status != 200 {
		return
	}
	require.NotEmpty(c.t, entries, "request %s was answered with 200, but no backend server ran it", r.id)
	var answer backend.Answer
	require.NoError(c.t, json.Unmarshal([]byte(r.response.body), &answer), "answer of %s", r.id)
	require.Equal(c.t, r.id, answer.Echo, "the answer belongs to another request")
}

// checkRecovery checks that every node answers a lookup and a confirmation within
// recoveryTimeout.
func (c *chaosRun) checkRecovery() {
	begin := time.Now()
	for i := range chaosNodes {
		for _, method := range []string{"GET", "POST"} {
			err := await(recoveryTimeout-time.Since(begin), func() error {
				r := c.send(method, uuid.NewString(), "praha-duvets", i, uuid.Must(uuid.NewV7()).String())
				if r.err != nil || r.response.status != 200 {
					return fmt.Errorf("%s through %s: %d %s %v", method, nodeName(i), r.response.status, r.response.reason, r.err)
				}
				return nil
			})
			require.NoError(c.t, err)
		}
	}
	c.t.Logf("recovered within %v", time.Since(begin))
}

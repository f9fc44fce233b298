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
	chaosNodes    = 6
	chaosTime     = 12 * time.Second
	chaosWorkers  = 8
	chaosPause    = 30 * time.Millisecond
	faultPause    = 600 * time.Millisecond
	longestFault  = 3 * time.Second
	repeatPercent = 40
	// recoverWithin bounds the time from the last fault's end to a fleet that
	// answers everything again.
	recoverWithin = 20 * time.Second
)

// attempt is one sending of one request.
type attempt struct {
	method, id, account string
	out                 outcome
	err                 error
}

// chaos sends requests while faults come and go, and remembers what came back.
type chaos struct {
	t    *testing.T
	f    *fleet
	keys map[string]string
	stop chan struct{}

	mu       sync.Mutex
	attempts []attempt
}

// Several failures at any moment, together or twice: every refusal "not run" is
// true, every confirmation runs at most once, every answer is whole and belongs to
// its request, and afterwards the fleet answers everything.
func TestFailuresTogether(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			c := &chaos{t: t, f: newFleet(t.TempDir()), keys: map[string]string{}, stop: make(chan struct{})}
			defer c.f.close()
			c.start()
			var wg sync.WaitGroup
			for w := range chaosWorkers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					c.work(rand.New(rand.NewPCG(seed, uint64(w))))
				}()
			}
			c.faults(rand.New(rand.NewPCG(seed, 1000)))
			close(c.stop)
			wg.Wait()
			c.check()
			c.recovers()
		})
	}
}

func (c *chaos) start() {
	require.NoError(c.t, c.f.start("vysocina", chaosNodes))
	require.NoError(c.t, c.f.configure(examplesDir()+"/vysocina.json", func(k, v string) { c.keys[k] = v }))
	for i := range chaosNodes {
		require.NoError(c.t, c.f.startBackend(nodeName(i), c.service(i), []string{"--slots", "64", "--delay-ms", "3"}))
	}
	for i := range chaosNodes {
		require.NoError(c.t, await(readyTimeout, func() error { return c.f.ready(nodeName(i), 1, chaosNodes) }))
	}
	c.settle()
}

func (c *chaos) service(i int) string { return []string{"stock", "orders"}[i/domains] }

// settle waits until a confirmation through every node is answered.
func (c *chaos) settle() {
	for i := range chaosNodes {
		require.NoError(c.t, await(recoverWithin, func() error {
			a := c.send("POST", "warm-up-"+uuid.NewString(), "praha-duvets", i, uuid.Must(uuid.NewV7()).String())
			if a.err != nil || a.out.status != 200 {
				return fmt.Errorf("%d %s %v", a.out.status, a.out.reason, a.err)
			}
			return nil
		}))
	}
}

func (c *chaos) send(method, id, account string, node int, idempotency string) attempt {
	path := map[string]string{"GET": "/stock/", "POST": "/orders/"}[method] + id
	q := request{
		url: "http://" + c.f.addr(node, portCaller), method: method, path: path, body: id,
		key: c.keys["KEY_"+strings.ReplaceAll(account, "-", "_")], idempotency: idempotency,
		header: map[string]string{"Request-Timeout-Ms": "1500"},
	}
	out, err := q.send()
	return attempt{method, id, account, out, err}
}

func (c *chaos) work(rng *rand.Rand) {
	accounts := []string{"praha-duvets", "brno-upholstery", "ostrava-sofas"}
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(chaosPause):
		}
		id, account := uuid.NewString(), accounts[rng.IntN(len(accounts))]
		if rng.IntN(2) == 0 {
			c.remember(c.send("GET", id, account, rng.IntN(chaosNodes), ""))
			continue
		}
		c.confirm(rng, id, account)
	}
}

// confirm sends a confirmation and often repeats it elsewhere, at the same time or later.
func (c *chaos) confirm(rng *rand.Rand, id, account string) {
	key := uuid.Must(uuid.NewV7()).String()
	var wg sync.WaitGroup
	for {
		node := rng.IntN(chaosNodes)
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.remember(c.send("POST", id, account, node, key))
		}()
		if rng.IntN(100) >= repeatPercent {
			break
		}
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
	}
	wg.Wait()
}

func (c *chaos) remember(a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

// faults brings faults about, two at a time at most, and ends all of them.
func (c *chaos) faults(rng *rand.Rand) {
	var wg sync.WaitGroup
	room := make(chan struct{}, 2)
	busy := &sync.Map{}
	for end := time.Now().Add(chaosTime); time.Now().Before(end); time.Sleep(faultPause) {
		room <- struct{}{}
		node, other, kind := rng.IntN(chaosNodes), rng.IntN(chaosNodes), rng.IntN(6)
		lasts := time.Duration(rng.Int64N(int64(longestFault)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-room }()
			if _, taken := busy.LoadOrStore(node, true); taken {
				return
			}
			defer busy.Delete(node)
			c.fault(kind, nodeName(node), nodeName(other), lasts)
		}()
	}
	wg.Wait()
}

func (c *chaos) fault(kind int, node, other string, lasts time.Duration) {
	switch kind {
	case 0:
		c.do(c.f.signal([]string{node}, syscall.SIGKILL))
		time.Sleep(lasts)
		p, _ := c.f.process(node)
		<-p.done
		c.do(c.f.startNode(node))
	case 1:
		c.do(c.f.signal([]string{node}, syscall.SIGSTOP))
		time.Sleep(lasts)
		c.do(c.f.signal([]string{node}, syscall.SIGCONT))
	case 2:
		c.link(node, other, lasts)
	case 3:
		c.link(node, "platform", lasts)
	case 4:
		c.platform(`{"down":true}`, lasts)
	case 5:
		c.platform(`{"loseWriteAnswers":true,"failEvery":3,"delayMs":20}`, lasts)
	}
}

func (c *chaos) link(a, b string, lasts time.Duration) {
	c.do(c.f.setLink([]string{a, b}, true))
	time.Sleep(lasts)
	c.do(c.f.setLink([]string{a, b}, false))
}

func (c *chaos) platform(faults string, lasts time.Duration) {
	c.do(post("http://"+c.f.platformAddr()+"/control", faults))
	time.Sleep(lasts)
	c.do(post("http://"+c.f.platformAddr()+"/control", `{}`))
}

func (c *chaos) do(err error) {
	if err != nil {
		c.t.Error(err)
	}
}

// check compares what callers were told with what backend servers ran.
func (c *chaos) check() {
	ran := map[string][]backend.Entry{}
	for i := range chaosNodes {
		entries, err := c.f.journal(nodeName(i), c.service(i))
		require.NoError(c.t, err)
		for _, e := range entries {
			id := e.Path[strings.LastIndexByte(e.Path, '/')+1:]
			ran[id] = append(ran[id], e)
			header, _ := json.Marshal(e.Header)
			require.NotContains(c.t, string(header), "ck_", "a key reached a backend server")
		}
	}
	mayHaveRun, counts := map[string]bool{}, map[string]int{}
	for _, a := range c.attempts {
		mayHaveRun[a.id] = mayHaveRun[a.id] || a.err != nil || a.out.outcome != "not-run"
		c.checkAttempt(a, ran[a.id])
		counts[fmt.Sprintf("%s %d %s", a.method, a.out.status, a.out.reason)]++
	}
	for _, a := range c.attempts {
		if !mayHaveRun[a.id] {
			require.Empty(c.t, ran[a.id], "%s %s was refused as not run", a.method, a.id)
		}
	}
	c.t.Logf("outcomes: %v", counts)
}

func (c *chaos) checkAttempt(a attempt, ran []backend.Entry) {
	if a.method == "POST" {
		require.LessOrEqual(c.t, len(ran), 1, "confirmation %s ran twice", a.id)
	}
	for _, e := range ran {
		require.Equal(c.t, a.account, e.Account, "request %s", a.id)
	}
	if a.err != nil || a.out.status != 200 {
		return
	}
	require.NotEmpty(c.t, ran, "request %s was answered, but never ran", a.id)
	var whole backend.Answer
	require.NoError(c.t, json.Unmarshal([]byte(a.out.body), &whole), "answer of %s", a.id)
	require.Equal(c.t, a.id, whole.Echo, "answer of another request")
}

// recovers checks that the fleet answers everything again.
func (c *chaos) recovers() {
	begin := time.Now()
	for i := range chaosNodes {
		for _, method := range []string{"GET", "POST"} {
			err := await(recoverWithin-time.Since(begin), func() error {
				a := c.send(method, uuid.NewString(), "praha-duvets", i, uuid.Must(uuid.NewV7()).String())
				if a.err != nil || a.out.status != 200 {
					return fmt.Errorf("%s through %s: %d %s %v", method, nodeName(i), a.out.status, a.out.reason, a.err)
				}
				return nil
			})
			require.NoError(c.t, err)
		}
	}
	c.t.Logf("recovered within %v", time.Since(begin))
}

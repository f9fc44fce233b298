package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	workers      = 10
	callerPause  = 25 * time.Millisecond
	requestDeadline = 1500 * time.Millisecond
)

// attempt is one request of a caller and what came back.
type attempt struct {
	id, method, account, key string
	node                     string
	sentAt, answeredAt           time.Time
	status                   int
	responseSeal, body               string
	err                      error
}

func (a *attempt) isUnsafe() bool { return a.method == http.MethodPost }

// isAnsweredNotRun reports whether the answer says that the request has not run.
func (a *attempt) isAnsweredNotRun() bool {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// callers send requests on connections that they keep, and remember what came back.
type callers struct {
	f       *fleet
	clients []*http.Client
	stop    chan struct{}
	wg      sync.WaitGroup

	mu   sync.Mutex
	keys map[string][]string
	attempts  []*attempt
	lastID int
}

func newCallers(f *fleet, keys map[string][]string) *callers {
	c := &callers{f: f, keys: keys, stop: make(chan struct{})}
	for range workers {
		c.clients = append(c.clients, &http.Client{Timeout: 4 * requestDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 4}})
	}
	return c
}

func (c *callers) start(seed uint64) {
	for w := range workers {
		c.wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(w)))
			for {
				select {
				case <-c.stop:
					return
				case <-time.After(callerPause):
				}
				n := c.f.nodes[rng.IntN(len(c.f.nodes))]
				c.send(c.clients[w], n, c.randomAttempt(rng))
			}
		})
	}
}

// randomAttempt makes a request of either kind for an account, at times with a withdrawn key.
func (c *callers) randomAttempt(rng *rand.Rand) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	account := []string{"large", "large", "large", "small"}[rng.IntN(4)]
	keys := c.keys[account]
	a := &attempt{id: fmt.Sprintf("a%d", c.lastID), account: account, key: keys[rng.IntN(len(keys))]}
	a.method = []string{http.MethodGet, http.MethodPost}[rng.IntN(2)]
	return a
}

func (c *callers) send(client *http.Client, n *node, a *attempt) {
	path := map[string]string{http.MethodGet: "/safe/", http.MethodPost: "/unsafe/"}[a.method] + a.id
	a.node, a.sentAt = n.name, time.Now()
	a.status, a.responseSeal, a.body, a.err = sendRequest(client, n, a, path)
	a.answeredAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

func sendRequest(client *http.Client, n *node, a *attempt, path string) (int, string, string, error) {
	req, err := http.NewRequest(a.method, "http://"+n.address(portCaller)+path, bytes.NewReader([]byte(a.id)))
	if err != nil {
		return 0, "", "", err
	}
	req.Host = "h"
	// The client would send a request again by itself if it could.
	req.GetBody = nil
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(requestDeadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+a.key)
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Response-Seal"), string(body), err
}

// stopAndCollect ends the callers and returns what they did.
func (c *callers) stopAndCollect() []*attempt {
	close(c.stop)
	c.wg.Wait()
	return c.attempts
}

// isCompleteAnswer reports whether a body is the whole answer to an attempt.
func isCompleteAnswer(a *attempt) bool { return strings.HasPrefix(a.body, "answer to "+a.id+" of i-") }

package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	workers         = 10
	callerPause     = 25 * time.Millisecond
	requestDeadline = 1500 * time.Millisecond
	// Every longBodyEvery-th request has a body of longBodyBytes, more than the buffers of a connection
	// hold.
	longBodyEvery = 4
	longBodyBytes = 1 << 20
)

// longBody is shared by all long requests, since the attempts are kept.
var longBody = strings.Repeat("x", longBodyBytes)

// attempt is one request of a caller and its response, or the error that the caller got.
type attempt struct {
	id, method, account, key string
	sentBody                 string
	node                     string
	sentAt, answeredAt       time.Time
	status                   int
	responseSeal, body       string
	// namesLimit is set if the response named a rate limit of the backend server, and saysLeaving
	// if it said that the backend server is leaving.
	namesLimit, saysLeaving bool
	err                     error
}

func (a *attempt) isUnsafe() bool { return a.method == http.MethodPost }

// isAnsweredNotRun reports whether the status guarantees that the request was not run.
func (a *attempt) isAnsweredNotRun() bool {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// callers send requests over persistent connections and record the outcomes.
type callers struct {
	f       *fleet
	clients []*http.Client
	stop    chan struct{}
	wg      sync.WaitGroup

	mu sync.Mutex
	// keys holds the API keys of each account, oldest first. Only the last two are valid.
	keys     map[string][]string
	attempts []*attempt
	lastID   int
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

// randomAttempt returns a safe or unsafe request for a random account. The key is drawn
// from all keys of the account, also withdrawn ones.
func (c *callers) randomAttempt(rng *rand.Rand) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	account := []string{"large", "large", "large", "small"}[rng.IntN(4)]
	keys := c.keys[account]
	a := &attempt{id: fmt.Sprintf("a%d", c.lastID), account: account, key: keys[rng.IntN(len(keys))]}
	a.method = []string{http.MethodGet, http.MethodPost}[rng.IntN(2)]
	a.sentBody = a.id
	if c.lastID%longBodyEvery == 0 {
		a.sentBody = longBody
	}
	return a
}

func (c *callers) send(client *http.Client, n *node, a *attempt) {
	path := map[string]string{http.MethodGet: "/safe/", http.MethodPost: "/unsafe/"}[a.method] + a.id
	a.node, a.sentAt = n.name, time.Now()
	a.err = sendRequest(client, n, a, path)
	a.answeredAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

// sendRequest sends an attempt to a node and records the response in it.
func sendRequest(client *http.Client, n *node, a *attempt, path string) error {
	req, err := http.NewRequest(a.method, "http://"+n.address(portCaller)+path, strings.NewReader(a.sentBody))
	if err != nil {
		return err
	}
	req.Host = "h"
	// With GetBody set, net/http may resend a request by itself on a new connection, and
	// one attempt could run twice.
	req.GetBody = nil
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(requestDeadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+a.key)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.status, a.body = resp.StatusCode, string(body)
	a.responseSeal = resp.Header.Get("Response-Seal")
	a.namesLimit, a.saysLeaving = resp.Header.Get("Server-Limit") != "", resp.Header.Get("Server-Leaving") != ""
	return err
}

// stopAndCollect stops the callers and returns all attempts.
func (c *callers) stopAndCollect() []*attempt {
	close(c.stop)
	c.wg.Wait()
	return c.attempts
}

// isCompleteAnswer reports whether the body begins as the stand-in's answer to this very
// attempt does.
func isCompleteAnswer(a *attempt) bool { return strings.HasPrefix(a.body, "answer to "+a.id+" of i-") }

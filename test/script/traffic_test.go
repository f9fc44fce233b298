package script

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
)

// response is the response to one request. outcome is its Comfreycart-Outcome header,
// reason the reason field of its body.
type response struct {
	status  int
	reason  string
	outcome string
	header  http.Header
	body    string
}

// request is a request to a node or a backend server. Empty fields are not sent.
type request struct {
	url, method, path, apiKey, idempotencyKey, body string
	header                                          map[string]string
}

// send sends the request and reads the whole response.
func (q request) send() (response, error) {
	req, err := http.NewRequest(q.method, q.url+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		return response{}, err
	}
	if q.apiKey != "" {
		req.Header.Set("Authorization", "Bearer "+q.apiKey)
	}
	if q.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", q.idempotencyKey)
	}
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}, err
	}
	result := response{status: resp.StatusCode, header: resp.Header, body: string(body)}
	result.outcome = resp.Header.Get("Comfreycart-Outcome")
	var doc struct{ Reason string }
	if json.Unmarshal(body, &doc) == nil {
		result.reason = doc.Reason
	}
	return result, nil
}

// traffic sends requests at a steady rate through several nodes in turn and counts the
// results by status and reason.
type traffic struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int
}

// startTraffic starts traffic. A slow response does not delay the next request.
func startTraffic(q request, urls []string, perSecond float64) *traffic {
	t := &traffic{stop: make(chan struct{}), counts: map[string]int{}}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-t.stop:
				return
			case <-tick.C:
			}
			t.wg.Add(1)
			go t.sendOne(q, urls, i)
		}
	}()
	return t
}

// sendOne sends a request through the first node, in turn from the given index, that
// accepts the connection. Like a real caller, it tries the next node when a connection
// is refused.
func (t *traffic) sendOne(q request, urls []string, first int) {
	defer t.wg.Done()
	if q.idempotencyKey == "new" {
		q.idempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	var resp response
	err := error(syscall.ECONNREFUSED)
	for i := 0; i < len(urls) && errors.Is(err, syscall.ECONNREFUSED); i++ {
		q.url = urls[(first+i)%len(urls)]
		resp, err = q.send()
	}
	label := fmt.Sprint("lost ", err)
	if err == nil {
		label = fmt.Sprint(resp.status)
		if resp.reason != "" {
			label += " " + resp.reason
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[label]++
}

// finish stops the traffic and waits for the running requests. It can be called again.
func (t *traffic) finish() {
	select {
	case <-t.stop:
	default:
		close(t.stop)
	}
	t.wg.Wait()
}

// report returns the counts as text, one line per result and the total last.
func (t *traffic) report() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lines []string
	total := 0
	for label, n := range t.counts {
		lines = append(lines, fmt.Sprintf("%s: %d", label, n))
		total += n
	}
	sort.Strings(lines)
	return strings.Join(append(lines, fmt.Sprintf("total: %d", total)), "\n") + "\n"
}

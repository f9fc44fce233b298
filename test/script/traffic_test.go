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

// outcome is what one request came to.
type outcome struct {
	status  int
	reason  string
	outcome string
	header  http.Header
	body    string
}

// request is one request of a scenario.
type request struct {
	url, method, path, key, idempotency, body string
	header                                    map[string]string
}

func (q request) send() (outcome, error) {
	req, err := http.NewRequest(q.method, q.url+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		return outcome{}, err
	}
	if q.key != "" {
		req.Header.Set("Authorization", "Bearer "+q.key)
	}
	if q.idempotency != "" {
		req.Header.Set("Idempotency-Key", q.idempotency)
	}
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return outcome{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcome{}, err
	}
	out := outcome{status: resp.StatusCode, header: resp.Header, body: string(body)}
	out.outcome = resp.Header.Get("Comfreycart-Outcome")
	var doc struct{ Reason string }
	if json.Unmarshal(body, &doc) == nil {
		out.reason = doc.Reason
	}
	return out, nil
}

// traffic sends requests at a steady rate through several nodes in turn.
type traffic struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int
}

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
			go t.one(q, urls, i)
		}
	}()
	return t
}

// one sends a request through the first of the nodes, beginning with the given one,
// that takes the connection: a caller whose connection is refused turns elsewhere.
func (t *traffic) one(q request, urls []string, first int) {
	defer t.wg.Done()
	if q.idempotency == "new" {
		q.idempotency = uuid.Must(uuid.NewV7()).String()
	}
	var out outcome
	err := error(syscall.ECONNREFUSED)
	for i := 0; i < len(urls) && errors.Is(err, syscall.ECONNREFUSED); i++ {
		q.url = urls[(first+i)%len(urls)]
		out, err = q.send()
	}
	label := fmt.Sprint("lost ", err)
	if err == nil {
		label = fmt.Sprint(out.status)
		if out.reason != "" {
			label += " " + out.reason
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[label]++
}

// finish ends the traffic and waits for what is under way.
func (t *traffic) finish() {
	select {
	case <-t.stop:
	default:
		close(t.stop)
	}
	t.wg.Wait()
}

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

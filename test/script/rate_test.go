package script

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// inRateCmd checks an account's rate limit in every time window, from the times at
// which its calls began at the backend servers:
//
//	inrate ACCOUNT RATE BURST DELAY NODE/SERVICE[/END]..
//
// END counts only the calls whose path ends with it. A call can reach its backend
// server up to DELAY seconds (its route's deadline) after it was admitted, so a window
// of w seconds can hold BURST + RATE * (w + DELAY) calls. The command prints the number
// of calls and the largest excess of a window over RATE * w.
func inRateCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	var limits [3]float64
	for i := range limits {
		value, err := strconv.ParseFloat(args[1+i], 64)
		if err != nil {
			return "", err
		}
		limits[i] = value
	}
	rate, burst, delay := limits[0], limits[1], limits[2]
	times, err := f.callTimes(args[0], args[4:])
	if err != nil {
		return "", err
	}
	excess := maxWindowExcess(times, rate)
	text := fmt.Sprintf("calls: %d\nfullest window: %.1f over its rate\n", len(times), excess)
	if excess > burst+rate*delay {
		return text, fmt.Errorf("account %s: of %d calls, a window exceeds the rate by %.1f calls, at most %.1f are allowed",
			args[0], len(times), excess, burst+rate*delay)
	}
	return text, nil
}

// callTimes returns the times at which an account's calls began, in seconds, sorted.
// Each server is NODE/SERVICE[/END].
func (f *fleet) callTimes(account string, servers []string) ([]float64, error) {
	var times []float64
	for _, server := range servers {
		node, service, _ := strings.Cut(server, "/")
		service, pathSuffix, _ := strings.Cut(service, "/")
		entries, err := f.journal(node, service)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if e.Account == account && strings.HasSuffix(e.Path, pathSuffix) {
				times = append(times, float64(e.AtMs)/1000)
			}
		}
	}
	slices.SortFunc(times, cmp.Compare[float64])
	return times, nil
}

// maxWindowExcess returns the largest number of calls by which any time window exceeds
// rate times its length. The times are in seconds and sorted.
func maxWindowExcess(times []float64, rate float64) float64 {
	lowest, excess := math.Inf(1), 0.0
	for i, t := range times {
		lowest = min(lowest, float64(i)-rate*t)
		excess = max(excess, float64(i+1)-rate*t-lowest)
	}
	return excess
}

// refusedCmd stops traffic and checks that at most PERCENT of its requests ended
// without status 200:
//
//	refused NAME PERCENT
func refusedCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	percent, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	t := f.traffic[args[0]]
	f.mu.Unlock()
	if t == nil {
		return "", fmt.Errorf("no traffic named %s", args[0])
	}
	t.finish()
	served, total := t.served()
	text := t.report()
	if failedPercent := 100 * float64(total-served) / float64(total); failedPercent > percent {
		return text, fmt.Errorf("%.2f%% of the requests were not served, at most %.2f%% are allowed:\n%s", failedPercent, percent, text)
	}
	return text, nil
}

// served returns the numbers of responses with status 200 and of all requests.
func (t *traffic) served() (served, total int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for label, n := range t.counts {
		total += n
		if strings.HasPrefix(label, "200") {
			served += n
		}
	}
	return served, total
}

// checkSlotsOwned checks that a node knows a home for every slot of the accounts'
// rates, so that it has a node to draw tokens from.
func (f *fleet) checkSlotsOwned(name string) error {
	text, err := metricCmd(f, nil, []string{name, "comfreycart_shares_unowned_slots 0"})
	if err == nil && text == "" {
		err = fmt.Errorf("%s does not know a home of every slot of the accounts' rates yet", name)
	}
	return err
}

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

// inRateCmd checks every window of an account's calls at backend servers:
//
//	inrate ACCOUNT RATE BURST DELAY NODE/SERVICE[/END]..
//
// With END only calls whose path ends so count. A call may reach its backend server up to DELAY seconds, its route's deadline,
// after it was admitted, so a window of w seconds may hold BURST + RATE * (w + DELAY).
// It prints the calls and the burst of the fullest window.
func inRateCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	var limits [3]float64
	for i := range limits {
		x, err := strconv.ParseFloat(args[1+i], 64)
		if err != nil {
			return "", err
		}
		limits[i] = x
	}
	rate, burst, delay := limits[0], limits[1], limits[2]
	at, err := f.callTimes(args[0], args[4:])
	if err != nil {
		return "", err
	}
	fullest := fullestWindow(at, rate)
	text := fmt.Sprintf("calls: %d\nfullest window: %.1f over its rate\n", len(at), fullest)
	if fullest > burst+rate*delay {
		return text, fmt.Errorf("%s: %d calls, a window holds %.1f above its rate, allowed are %.1f",
			args[0], len(at), fullest, burst+rate*delay)
	}
	return text, nil
}

// callTimes returns when the account's calls began, in seconds, in order.
func (f *fleet) callTimes(account string, servers []string) ([]float64, error) {
	var at []float64
	for _, s := range servers {
		node, service, _ := strings.Cut(s, "/")
		service, end, _ := strings.Cut(service, "/")
		entries, err := f.journal(node, service)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if e.Account == account && strings.HasSuffix(e.Path, end) {
				at = append(at, float64(e.AtMs)/1000)
			}
		}
	}
	slices.SortFunc(at, cmp.Compare[float64])
	return at, nil
}

// fullestWindow returns the most calls of any window beyond rate times its length.
func fullestWindow(at []float64, rate float64) float64 {
	least, most := math.Inf(1), 0.0
	for i, t := range at {
		least = min(least, float64(i)-rate*t)
		most = max(most, float64(i+1)-rate*t-least)
	}
	return most
}

// refusedCmd checks how many requests of ended traffic were refused:
//
//	refused NAME PERCENT    at most PERCENT did not end with status 200
func refusedCmd(f *fleet, _ *testscript.TestScript, args []string) (string, error) {
	percent, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	t := f.traffic[args[0]]
	f.mu.Unlock()
	if t == nil {
		return "", fmt.Errorf("no traffic %s", args[0])
	}
	t.finish()
	served, total := t.served()
	text := t.report()
	if bad := 100 * float64(total-served) / float64(total); bad > percent {
		return text, fmt.Errorf("%.2f%% were not served, allowed are %.2f%%:\n%s", bad, percent, text)
	}
	return text, nil
}

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

// sharesOwned checks that a node knows whom to ask for accounts' rates.
func (f *fleet) sharesOwned(name string) error {
	text, err := metricCmd(f, nil, []string{name, "comfreycart_shares_unowned_slots 0"})
	if err == nil && text == "" {
		err = fmt.Errorf("%s knows no homes of accounts' rates yet", name)
	}
	return err
}

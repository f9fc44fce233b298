package experiment

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"comfreycart.dev/comfreycart/internal/clock"
)

func TestDebug(t *testing.T) {
	d := &luntiang
	if os.Getenv("DEP") == "v" {
		d = &vysocina
	}
	for _, s := range Scenarios {
		if !strings.Contains(s.Name, os.Getenv("SCN")) {
			continue
		}
		w := newWorld(d, Policies[3], 1)
		m := timeline(s)
		w.result.begin, w.result.end = m.count, m.countEnd
		if s.start != nil {
			w.at(m.start, func() { s.start(w) })
		}
		if s.stop != nil {
			w.at(m.stop, func() { s.stop(w) })
		}
		w.send(s, s.demand*d.capacity(), 1, m.end)
		if s.surge > 0 {
			w.at(m.start, func() { w.send(s, (s.surge-s.demand)*d.capacity(), 1, m.stop) })
		}
		for at := 500 * time.Millisecond; at < time.Duration(m.end); at += 500 * time.Millisecond {
			w.at(clock.Time(at), func() {
				fmt.Printf("%.1f ratio %.2f ", at.Seconds(), w.result.ratio(w.now-clock.Time(time.Second), w.now-clock.Time(500*time.Millisecond)))
				for _, sv := range d.services {
					for _, e := range w.byName[sv.name] {
						f := e.place.Feedback(w.now)
						fmt.Printf("%s[%d.%d %d/%d+%d] ", sv.name[:2], f.Threshold, f.ShareMilli, f.InFlight, f.Limit, f.Queued)
					}
				}
				for _, r := range d.routes {
					fmt.Printf("%s %.2f ", r.name[:3], w.nodes[0].routes[r.name].Level())
				}
				fmt.Println()
			})
		}
		w.runUntil(m.end)
		fmt.Println(s.Name, w.result.critical, w.result.inRate, w.result.refused)
		break
	}
}

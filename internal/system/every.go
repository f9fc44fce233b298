// Package system holds helpers shared by the subsystems of a node.
package system

import (
	"context"
	"time"
)

// Every calls f once per interval until ctx is done. Calls do not overlap: if f takes longer
// than the interval, the next call follows immediately and the other missed ticks are dropped.
func Every(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}

// Package system holds what the systems of a node have in common.
package system

import (
	"context"
	"time"
)

// Every calls f each interval, one call after the other, until ctx ends.
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

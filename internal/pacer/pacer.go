// Package pacer runs a periodic task until its context ends.
//
// # Usage
//
//	func (c *Controller) leaseLoop(ctx context.Context) {
//		pacer.Repeat(ctx, renewInterval, c.renew)
//	}
package pacer

import (
	"context"
	"time"
)

// Repeat calls task at once and then at each interval, until ctx ends. A call
// that takes longer than the interval delays the next.
func Repeat(ctx context.Context, interval time.Duration, task func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		task(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

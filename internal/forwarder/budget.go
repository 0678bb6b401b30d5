package forwarder

import (
	"time"

	"github.com/apex/log"

	"github.com/waxwingmount/waxwingmount/internal/clocker"
	"github.com/waxwingmount/waxwingmount/internal/logger"
	"github.com/waxwingmount/waxwingmount/pkg/enumerator"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/retrier"
)

const (
	// reserveFraction is the fraction of the retry slack that the entry instances divide: half of
	// it, as restarts may double what they spend (see [retrier.Limits]), less what covers
	// retries that arrive later than they are counted and instances that are not yet known.
	reserveFraction = 0.4
	// retryEntryRetention is how long an entry instance that fell silent counts.
	retryEntryRetention = time.Minute
	// unusedBudgetWindows is the number of windows after which a budget that is not used is
	// forgotten.
	unusedBudgetWindows = 2
)

// retryBudgets holds the retry budgets of one entry instance, by service. The slack is divided
// among the entry instances. The forwarder's lock guards it but for entriesAt, which only the
// loop uses.
type retryBudgets struct {
	limits retrier.Limits
	// startedAt is when the process started, or zero if no process has run before.
	startedAt time.Time
	fleet     *enumerator.Enumerator
	services  map[string]*serviceBudget
	// entriesAt is when the live entry instances were last applied.
	entriesAt time.Time
}

type serviceBudget struct {
	*retrier.Budget
	usedAt time.Time
}

func newRetryBudgets(now time.Time, self string, s Settings) retryBudgets {
	window := s.RetryWindow
	if window <= 0 {
		window = retrier.DefaultWindow
	}
	startedAt := now
	if s.FirstStart {
		// No process before this one can have spent anything.
		startedAt = time.Time{}
	}
	return retryBudgets{
		limits:    retrier.Limits{Window: window},
		startedAt: startedAt,
		fleet:     enumerator.New(self, enumerator.Settings{Retention: retryEntryRetention, LeavingRetention: window}),
		services:  make(map[string]*serviceBudget),
	}
}

// of returns the budget of a service.
func (b *retryBudgets) of(now time.Time, service string) *retrier.Budget {
	found, known := b.services[service]
	if !known {
		found = &serviceBudget{Budget: retrier.NewBudget(b.limits, b.startedAt)}
		b.services[service] = found
	}
	found.usedAt = now
	return found.Budget
}

// configure applies the settings and the known entry instances to the budgets. It reports
// whether the reserve has changed.
func (b *retryBudgets) configure(s *Settings) bool {
	previous := b.limits
	b.limits.Ratio, b.limits.Reserve = s.RetryRatio, 0
	if b.fleet.Complete() {
		b.limits.Reserve = reserveFraction * s.RetrySlack / float64(b.fleet.Size())
	}
	for _, found := range b.services {
		found.SetLimits(b.limits)
	}
	return b.limits.Reserve != previous.Reserve
}

// forget drops the budgets of services that the configuration does not have.
func (b *retryBudgets) forget(now time.Time, config *mapper.RouteTable) {
	for name, found := range b.services {
		if _, known := config.Service(name); !known && now.Sub(found.usedAt) > unusedBudgetWindows*b.limits.Window {
			delete(b.services, name)
		}
	}
}

// updateRetryBudgets applies the live entry instances to the retry budgets. Only the loop calls
// it.
func (f *Forwarder) updateRetryBudgets() {
	now := clocker.Now()
	if now.Sub(f.retryBudgets.entriesAt) < entriesInterval {
		return
	}
	f.retryBudgets.entriesAt = now
	entries, config, settings := f.Peers.Entries(), f.Observer.Config(), f.settings.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudgets.fleet.Update(now, entries, max(1, settings.FewestEntries))
	if config != nil {
		f.retryBudgets.forget(now, config)
	}
	if f.retryBudgets.configure(settings) {
		log.WithFields(log.Fields{"entries": f.retryBudgets.fleet.Size(), "reserve": f.retryBudgets.limits.Reserve}).Info(logger.LineRetryReserve)
	}
}

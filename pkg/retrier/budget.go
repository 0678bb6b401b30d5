package retrier

import "time"

// Limits bound the retries of one entry instance for one service. Those of a fleet stay within
// a ratio of its requests and a number beside it if the reserves of its entry instances add up
// to half of that number: an entry instance may spend its reserve, end, and the processes after
// it may spend what has grown since, which is no more than one reserve in a window.
type Limits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Reserve is the number of retries allowed in a window beside those that requests pay for.
	Reserve float64
	// Window is the time over which requests and retries are counted, 40 ms at least. Zero
	// means [DefaultWindow].
	Window time.Duration
}

// DefaultWindow is the window of a budget whose Limits do not set one.
const DefaultWindow = 10 * time.Second

// budgetSlots is the number of parts of a window by which requests and retries are counted.
const budgetSlots = 40

// Budget limits retries, so that a failure does not multiply the load: in no window are there
// more than the requests of that window and the reserve allow. The reserve grows during the
// first window after the start of the process, since the one before it may have spent the same
// until it ended. It is not safe for concurrent use.
type Budget struct {
	limits    Limits
	startedAt time.Time
	// epoch is the beginning of the first slot.
	epoch time.Time
	// slots is a ring of one window and the slot that is not over, and slot the number of the
	// latter since the epoch.
	slots [budgetSlots + 1]budgetSlot
	slot  int64
}

// budgetSlot counts the requests and the retries in one part of a window.
type budgetSlot struct{ requests, retries int }

// NewBudget returns a budget of a process that started at a time. The zero time means that its
// reserve need not grow, because no process before it can have spent any.
func NewBudget(limits Limits, startedAt time.Time) *Budget {
	if limits.Window <= 0 {
		limits.Window = DefaultWindow
	}
	limits.Window = max(limits.Window, budgetSlots*time.Millisecond)
	return &Budget{limits: limits, startedAt: startedAt}
}

// SetLimits replaces the limits but for the window, which stays as it is.
func (b *Budget) SetLimits(limits Limits) {
	limits.Window = b.limits.Window
	b.limits = limits
}

// Deposit counts a new request.
func (b *Budget) Deposit(now time.Time) { b.at(now).requests++ }

// Available reports whether a retry is allowed.
func (b *Budget) Available(now time.Time) bool { return b.Left(now) >= 1 }

// Left returns the number of retries that are allowed now.
func (b *Budget) Left(now time.Time) float64 {
	b.at(now)
	requests, retries := 0, 0
	for _, s := range b.slots {
		requests, retries = requests+s.requests, retries+s.retries
	}
	// Only whole slots within the window count as requests, and all that touch it as retries.
	requests -= b.slots[(b.slot+1)%int64(len(b.slots))].requests
	return b.limits.Ratio*float64(requests) + b.reserve(now) - float64(retries)
}

// reserve returns the part of the reserve that has grown so far.
func (b *Budget) reserve(now time.Time) float64 {
	if b.startedAt.IsZero() {
		return b.limits.Reserve
	}
	return b.limits.Reserve * min(1, float64(now.Sub(b.startedAt))/float64(b.limits.Window))
}

// Withdraw counts a retry. It returns false if none is allowed.
func (b *Budget) Withdraw(now time.Time) bool {
	if !b.Available(now) {
		return false
	}
	b.at(now).retries++
	return true
}

// Refund takes back a retry that was counted at a time and not made.
func (b *Budget) Refund(withdrawnAt time.Time) {
	slot := b.slotAt(withdrawnAt)
	if b.slot-slot >= int64(len(b.slots)) {
		return
	}
	if s := &b.slots[slot%int64(len(b.slots))]; s.retries > 0 {
		s.retries--
	}
}

// at returns the slot of a time, and forgets those that are older than a window.
func (b *Budget) at(now time.Time) *budgetSlot {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	for next := b.slotAt(now); b.slot < next; {
		if next-b.slot > int64(len(b.slots)) {
			b.slot = next - int64(len(b.slots))
		}
		b.slot++
		b.slots[b.slot%int64(len(b.slots))] = budgetSlot{}
	}
	return &b.slots[b.slot%int64(len(b.slots))]
}

// slotAt returns the number of the slot of a time. A time before the epoch is in the first one.
func (b *Budget) slotAt(at time.Time) int64 {
	return max(0, int64(at.Sub(b.epoch)/(b.limits.Window/budgetSlots)))
}

package retrier

// Budget limits retries to a ratio of the requests, so that a failure does not
// multiply the load. It is not safe for concurrent use.
type Budget struct {
	ratio   float64
	reserve float64
	balance float64
}

// NewBudget returns a budget that allows ratio retries per request on average, and
// bursts of up to reserve retries.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, balance: reserve}
}

// SetRatio sets the number of retries allowed per request.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// SetReserve sets the maximum burst of retries.
func (b *Budget) SetReserve(reserve float64) {
	b.reserve = reserve
	b.balance = min(b.balance, reserve)
}

// Deposit adds the retries allowed for one new request.
func (b *Budget) Deposit() { b.balance = min(b.balance+b.ratio, b.reserve) }

// Available reports whether a retry is left.
func (b *Budget) Available() bool { return b.balance >= 1 }

// Refund returns a retry that was withdrawn and not made.
func (b *Budget) Refund() { b.balance = min(b.balance+1, b.reserve) }

// Withdraw takes one retry from the budget. It returns false if none is left.
func (b *Budget) Withdraw() bool {
	if !b.Available() {
		return false
	}
	b.balance--
	return true
}

package retrier

// Budget bounds retries to a share of the requests, so that a failure cannot
// multiply the load. It is not safe for concurrent use.
type Budget struct {
	ratio   float64
	reserve float64
	balance float64
}

// NewBudget returns a budget that allows ratio retries for each request on
// average, and up to reserve at once.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, balance: reserve}
}

// SetRatio changes how many retries each request allows.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// SetReserve changes how many retries may be made at once.
func (b *Budget) SetReserve(reserve float64) {
	b.reserve = reserve
	b.balance = min(b.balance, reserve)
}

// Deposit counts a new request.
func (b *Budget) Deposit() { b.balance = min(b.balance+b.ratio, b.reserve) }

// Withdraw takes one retry, or reports that there is none left.
func (b *Budget) Withdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

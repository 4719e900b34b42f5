package routing

// RetryBudget allows retries as a share of requests, so that retries cannot multiply a flood.
type RetryBudget struct {
	// Ratio is the number of retries allowed for each request; default 0.1.
	Ratio float64
	// Burst bounds saved retries; default 10.
	Burst float64
	saved float64
}

// NewRetryBudget returns a budget with defaults and a full burst, so that an entry can retry after its start.
func NewRetryBudget() *RetryBudget { return &RetryBudget{Ratio: 0.1, Burst: 10, saved: 10} }

// Request counts a first attempt.
func (b *RetryBudget) Request() { b.saved = min(b.Burst, b.saved+b.Ratio) }

// Retry takes one retry from the budget, or reports that there is none.
func (b *RetryBudget) Retry() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

package routing

// RetryBudget allows retries as a share of requests, so that retries cannot multiply a flood. A client account that
// retries more than the others leaves a reserve, so that the refusals of a large caller do not take the retries of a
// small one.
type RetryBudget struct {
	// Ratio is the number of retries allowed for each request; default 0.1.
	Ratio float64
	// Burst bounds saved retries; default 10.
	Burst float64
	saved float64
	// recent are retries by account, forgotten by halves.
	recent map[string]float64
	total  float64
}

// heavyReserve is the share of Burst that accounts with many retries leave to others. In the bench, 0.5 takes so many
// retries from large callers in an urgent flood that urgent work falls below 99 in 100 on time.
const heavyReserve = 0.2

// recentRetries is the number of remembered retries at which all of them are halved. It also bounds the accounts
// remembered: an account is dropped once less than half a retry is left of it.
const recentRetries = 256

// NewRetryBudget returns a budget with defaults and a full burst, so that an entry can retry after its start.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{Ratio: 0.1, Burst: 10, saved: 10, recent: map[string]float64{}}
}

// Request counts a first attempt.
func (b *RetryBudget) Request() { b.saved = min(b.Burst, b.saved+b.Ratio) }

// Retry takes one retry of an account from the budget, or reports that there is none for it.
func (b *RetryBudget) Retry(account string) bool {
	least := 1.0
	if b.heavy(account) {
		least += heavyReserve * b.Burst
	}
	if b.saved < least {
		return false
	}
	b.saved--
	b.remember(account)
	return true
}

// heavy is true for an account with more than an equal part of the recent retries.
func (b *RetryBudget) heavy(account string) bool {
	own := b.recent[account]
	return own > 0 && len(b.recent) > 1 && own*float64(len(b.recent)) > b.total
}

func (b *RetryBudget) remember(account string) {
	b.recent[account]++
	b.total++
	if b.total < recentRetries {
		return
	}
	b.total = 0
	for name, n := range b.recent {
		if n /= 2; n < 0.5 {
			delete(b.recent, name)
			continue
		}
		b.recent[name] = n
		b.total += n
	}
}

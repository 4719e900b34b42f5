package routing

// RetryBudget limits retries to a share of requests, so that retries cannot multiply an overload. A client account that
// retries more than the others cannot use the last part of the budget, so that the refusals of a large caller do not use up
// the retries of a small one.
type RetryBudget struct {
	// Ratio is the number of retries added to the budget by each request; default 0.1.
	Ratio float64
	// Burst bounds the available retries; default 10.
	Burst     float64
	available float64
	// recent holds retries by account. Its counts are halved when total reaches recentRetries.
	recent map[string]float64
	total  float64
}

// heavyReserve is the share of Burst that is reserved for accounts without many recent retries. With 0.5, large callers are
// denied so many retries during a flood of urgent work that less than 99 in 100 urgent requests are on time.
const heavyReserve = 0.2

// recentRetries is the total of recent retries at which all counts are halved. It also bounds the number of accounts,
// because an account is removed when its count falls below 0.5.
const recentRetries = 256

// NewRetryBudget returns a budget with defaults and a full burst, so that an entry can retry right after its start.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{Ratio: 0.1, Burst: 10, available: 10, recent: map[string]float64{}}
}

// RecordRequest counts a first attempt.
func (b *RetryBudget) RecordRequest() { b.available = min(b.Burst, b.available+b.Ratio) }

// TakeRetry takes one retry from the budget for an account. It reports false if none is available to the account.
func (b *RetryBudget) TakeRetry(account string) bool {
	required := 1.0
	if b.isHeavy(account) {
		required += heavyReserve * b.Burst
	}
	if b.available < required {
		return false
	}
	b.available--
	b.record(account)
	return true
}

// isHeavy reports whether an account has made more than an equal share of the recent retries.
func (b *RetryBudget) isHeavy(account string) bool {
	count := b.recent[account]
	return count > 0 && len(b.recent) > 1 && count*float64(len(b.recent)) > b.total
}

func (b *RetryBudget) record(account string) {
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

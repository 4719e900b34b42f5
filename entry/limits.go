package entry

import (
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/routing"
)

// accountLimits counts requests in flight per account.
type accountLimits struct {
	mu       sync.Mutex
	inFlight map[string]int
}

func newAccountLimits() *accountLimits { return &accountLimits{inFlight: map[string]int{}} }

// acquire counts a request of the account, or fails if the account is at its limit. It is paired with release.
func (l *accountLimits) acquire(account *objectset.Account) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if account.MaxConcurrent > 0 && l.inFlight[account.Name] >= account.MaxConcurrent {
		return overloaded("the account has %d requests in flight", account.MaxConcurrent)
	}
	l.inFlight[account.Name]++
	return nil
}

func (l *accountLimits) release(account *objectset.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[account.Name]--
	if l.inFlight[account.Name] == 0 {
		delete(l.inFlight, account.Name)
	}
}

func overloaded(format string, args ...any) *failure.Error {
	e := failure.New(failure.Overloaded, failure.NotRun, format, args...)
	e.RetryAfter = time.Second
	return e
}

// retryBudget is a routing.RetryBudget that is safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	budget *routing.RetryBudget
}

func newRetryBudget(share, burst float64) *retryBudget {
	budget := routing.NewRetryBudget()
	budget.Ratio = share
	budget.Burst = burst
	return &retryBudget{budget: budget}
}

// recordRequest adds the share of one request to the budget.
func (b *retryBudget) recordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordRequest()
}

// takeRetry charges one retry of an account, and reports whether the budget allows it.
func (b *retryBudget) takeRetry(account string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TakeRetry(account)
}

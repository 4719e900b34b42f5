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

// enter takes a place for the account; leave gives it back.
func (l *accountLimits) enter(account *objectset.Account) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if account.MaxConcurrent > 0 && l.inFlight[account.Name] >= account.MaxConcurrent {
		return overloaded("the account has %d requests in flight", account.MaxConcurrent)
	}
	l.inFlight[account.Name]++
	return nil
}

func (l *accountLimits) leave(account *objectset.Account) {
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

// retryBudget guards routing's budget of retries with a lock.
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

// request adds one request's share to the budget.
func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Request()
}

// take uses one retry for an account, if the budget allows.
func (b *retryBudget) take(account string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Retry(account)
}

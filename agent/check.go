package agent

import (
	"context"
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

// currentView returns the view under which a request may start, or the reason why it may not.
func (a *Agent) currentView(ctx context.Context, header *agentpb.Header, wait time.Duration) (controlclient.View, error) {
	view, err := a.awaitSetVersion(ctx, header.GetSetVersion(), wait)
	if err != nil {
		return view, err
	}
	if a.isLeaving(view) {
		a.beginDrain()
		return view, retryable(failure.Draining, "the upstream is leaving")
	}
	if header.GetUpstreamEpoch() > view.Epoch {
		return view, retryable(failure.Fenced, "a newer incarnation of this agent has epoch %d", header.GetUpstreamEpoch())
	}
	if header.GetSetVersion() < a.recordSetVersion(view.Version) {
		return view, retryable(failure.SetVersionBehind, "sent under set version %d; the current version is %d", header.GetSetVersion(), view.Version)
	}
	return view, nil
}

// awaitSetVersion reports the sender's set version to the source and waits, within a limit, until the agent has it.
func (a *Agent) awaitSetVersion(ctx context.Context, version uint64, wait time.Duration) (controlclient.View, error) {
	if version > a.deps.Source.Current().Version {
		a.deps.Source.Observe(version)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := a.deps.Source.Changed()
		view := a.deps.Source.Current()
		now := a.deps.Clock.Now()
		if view.Fresh(now) && view.Version >= version {
			return view, nil
		}
		if view.Set == nil || !now.Before(view.FreshUntil) {
			return view, retryable(failure.StaleSet, "control has not confirmed the object set")
		}
		select {
		case <-changed:
		case <-timer.C:
			return view, retryable(failure.StaleSet, "set version %d has not arrived; the current version is %d", version, view.Version)
		case <-ctx.Done():
			return view, failure.Wrap(ctx.Err(), failure.Canceled, failure.NotRun, "canceled while waiting for a set version")
		}
	}
}

// retryAfter is the retry advice of refusals whose cause usually passes within a second or two.
const retryAfter = time.Second

func retryable(kind failure.Kind, format string, args ...any) *failure.Error {
	e := failure.New(kind, failure.NotRun, format, args...)
	e.RetryAfter = retryAfter
	return e
}

// findAccount returns an account of the set, or a refusal.
func findAccount(set *objectset.Set, name string) (objectset.Account, error) {
	for _, account := range set.Accounts {
		if account.Name == name {
			return account, nil
		}
	}
	return objectset.Account{}, failure.New(failure.Forbidden, failure.NotRun, "account %q is not in the object set", name)
}

func findRank(set *objectset.Set, name string) (objectset.Rank, error) {
	for _, rank := range set.Ranks {
		if rank.Name == name {
			return rank, nil
		}
	}
	return objectset.Rank{}, failure.New(failure.InvalidRequest, failure.NotRun, "rank %q is not in the object set", name)
}

// weightVersion returns the version in force for the model.
func weightVersion(set *objectset.Set, model string) string {
	for _, m := range set.Models {
		if m.Name == model {
			return m.WeightVersion
		}
	}
	return ""
}

// checkWeights refuses new work under a weight version that is not in force. Work under the previous version may run until
// the new one is loaded. A continuation keeps its version for as long as it is loaded.
func (a *Agent) checkWeights(view controlclient.View, req *agentpb.GenerateRequest) error {
	inForce := weightVersion(view.Set, req.GetModel())
	if req.GetWeightVersion() == inForce {
		return nil
	}
	loaded := a.weights.loadedVersions()
	requestedLoaded := slices.Contains(loaded, req.GetWeightVersion())
	if requestedLoaded && len(req.GetEmitted()) > 0 {
		return nil
	}
	if requestedLoaded && !slices.Contains(loaded, inForce) {
		return nil
	}
	return retryable(failure.WrongWeightVersion, "weight version %q is not in force; the version in force is %q", req.GetWeightVersion(), inForce)
}

// checkModel refuses a model that this upstream does not serve or that the account may not use.
func (a *Agent) checkModel(view controlclient.View, account objectset.Account, model string) error {
	_, deployment, ok := a.upstream(view.Set)
	if !ok || deployment.Model != model {
		return retryable(failure.NoUpstream, "this upstream does not serve model %q", model)
	}
	if !slices.Contains(account.Models, model) {
		return failure.New(failure.Forbidden, failure.NotRun, "account %q may not use model %q", account.Name, model)
	}
	return nil
}

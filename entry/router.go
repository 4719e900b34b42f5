package entry

import (
	"math/rand/v2"
	"slices"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

// RouteRequest is what a Router weighs.
type RouteRequest struct {
	RequestID     string
	Account       string
	Model         string
	WeightVersion string
	Rank          objectset.Rank
	// Affinity routes prompts with the same beginning to the same upstreams.
	Affinity     piece.Name
	Pieces       []piece.Name
	PromptTokens int64
	// Excluded upstreams were already tried for this request.
	Excluded []string
}

// Route is a chosen upstream.
type Route struct {
	Upstream string
	Address  string
	Epoch    uint64
	// Reasons are short lines for `wasabishunt explain`.
	Reasons []string
}

// Router picks upstreams and learns from replies.
type Router interface {
	// Pick returns a live upstream for the request, or a typed failure.
	Pick(view controlclient.View, request RouteRequest) (Route, error)
	// Sent notes work that was sent to an upstream.
	Sent(upstream string, request RouteRequest)
	// Learned takes a load report from a reply.
	Learned(load *agentpb.UpstreamLoad)
	// Failed notes a failed call to an upstream.
	Failed(upstream string)
}

// RandomRouter picks any live upstream of the model.
type RandomRouter struct{}

// Pick implements Router.
func (RandomRouter) Pick(view controlclient.View, request RouteRequest) (Route, error) {
	live := liveUpstreams(view)
	var routes []Route
	for _, u := range view.Set.Upstreams {
		process, ok := live[u.Name]
		if ok && serves(view.Set, u, request.Model) && !slices.Contains(request.Excluded, u.Name) {
			routes = append(routes, Route{Upstream: u.Name, Address: u.AgentAddress, Epoch: process.Epoch, Reasons: []string{"random: " + u.Name}})
		}
	}
	if len(routes) == 0 {
		return Route{}, noUpstream(request.Model)
	}
	return routes[rand.IntN(len(routes))], nil
}

func noUpstream(model string) *failure.Error {
	e := failure.New(failure.NoUpstream, failure.NotRun, "no live upstream serves %q", model)
	e.RetryAfter = staleSet().RetryAfter
	return e
}

// liveUpstreams returns the live agents by upstream name.
func liveUpstreams(view controlclient.View) map[string]controlclient.Process {
	live := map[string]controlclient.Process{}
	for _, process := range view.Processes {
		if process.Role == agentRole && process.State == controlclient.Live {
			live[process.Serves] = process
		}
	}
	return live
}

func serves(set *objectset.Set, upstream objectset.Upstream, model string) bool {
	for _, d := range set.Deployments {
		if d.Name == upstream.Deployment {
			return d.Model == model
		}
	}
	return false
}

// Sent implements Router.
func (RandomRouter) Sent(string, RouteRequest) {}

// Learned implements Router.
func (RandomRouter) Learned(*agentpb.UpstreamLoad) {}

// Failed implements Router.
func (RandomRouter) Failed(string) {}

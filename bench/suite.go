package bench

import (
	"golang.org/x/sync/errgroup"
)

// Suite holds the results of all runs.
type Suite struct {
	Seed        uint64
	Deployments []*Deployment
	Cases       []*Case
	Baselines   []Policy
	Ablations   []Policy
	results     map[resultKey]*Result
}

type resultKey struct{ deployment, caseName, policy string }

// RunSuite runs every case of both deployments under all baselines and ablations, up to workers runs at a time.
func RunSuite(seed uint64, workers int) *Suite {
	s := &Suite{
		Seed: seed, Deployments: []*Deployment{DeploymentA(), DeploymentB()}, Cases: Cases(),
		Baselines: Baselines(), Ablations: Ablations(), results: map[resultKey]*Result{},
	}
	policies := append(Baselines(), s.Ablations...)
	var group errgroup.Group
	group.SetLimit(workers)
	finished := make(chan *Result, len(s.Deployments)*len(s.Cases)*len(policies))
	for _, d := range s.Deployments {
		for _, c := range s.Cases {
			for _, p := range policies {
				group.Go(func() error {
					finished <- Run(d, c, p, seed)
					return nil
				})
			}
		}
	}
	_ = group.Wait() // No run returns an error.
	close(finished)
	for r := range finished {
		s.results[resultKey{r.Deployment, r.Case, r.Policy}] = r
	}
	return s
}

func (s *Suite) result(d *Deployment, c *Case, p Policy) *Result {
	return s.results[resultKey{d.Name, c.Name, p.Name}]
}

// Len is the number of runs.
func (s *Suite) Len() int { return len(s.results) }

package configcheck

import (
	"slices"

	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/trafficset"
)

// unusedServices finds services that are the target of no route. Stores take no requests and need none.
func (f *findings) unusedServices(set *trafficset.Set) {
	used := map[string]bool{}
	for _, r := range set.Routes {
		for _, t := range r.Targets {
			used[t.Service] = true
		}
	}
	for _, s := range set.Services {
		if !used[s.Name] && s.Store == nil {
			f.add("services."+s.Name, UnusedService, "is the target of no route")
		}
	}
}

// unusedObjectServices finds services without instances, and services that no account may call.
func (f *findings) unusedObjectServices(set *objectset.Set) {
	for _, s := range set.Services {
		if len(s.AgentAddresses) == 0 {
			f.add("services."+s.Name, UnusedService, "has no agent addresses")
		}
		if !slices.ContainsFunc(set.Accounts, func(a objectset.Account) bool { return slices.Contains(a.Services, s.Name) }) {
			f.add("services."+s.Name, UnusedService, "may be called by no account")
		}
	}
}

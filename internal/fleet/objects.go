package fleet

import (
	"fmt"

	"github.com/wasabishunt/wasabishunt/objectset"
)

// Names of the fleet's objects.
const (
	Model         = "advisor"
	firstVersion  = Model + "-v1"
	SecondVersion = Model + "-v2"
	Service       = "orders"
	deployment    = "advice"
	// UrgentRank, DayRank and NightRank are ordered from most to least urgent.
	UrgentRank = "urgent"
	DayRank    = "day"
	NightRank  = "night"
	// bytesPerToken is the size of the engine stand-in's KV cache per token.
	bytesPerToken = 64
)

// UpstreamName returns the name of an upstream, counted from 0.
func UpstreamName(i int) string { return fmt.Sprintf("upstream-%d", i+1) }

// AccountName returns the name of a client account, counted from 0.
func AccountName(i int) string { return fmt.Sprintf("account-%d", i+1) }

// AccountKey returns the API key of a client account, counted from 0.
func AccountKey(i int) string { return "example-key-" + AccountName(i) }

// ObjectSet returns the object set that describes the fleet.
func (f *Fleet) ObjectSet() *objectset.Set {
	set := &objectset.Set{
		Ranks: []objectset.Rank{
			{Name: UrgentRank, Order: 0, Floor: 0.3, Worth: 10, FirstTokenMs: 720},
			{Name: DayRank, Order: 1, Floor: 0.2, Worth: 4, FirstTokenMs: 2000},
			{Name: NightRank, Order: 2, Floor: 0.05, Worth: 1, FirstTokenMs: 60000},
		},
		Models: []objectset.Model{{Name: Model, WeightVersion: firstVersion, DefaultRank: DayRank, BytesPerToken: bytesPerToken}},
		WeightVersions: []objectset.WeightVersion{
			{Name: firstVersion, Model: Model, Source: "weights/advisor/v1"},
			{Name: SecondVersion, Model: Model, Source: "weights/advisor/v2"},
		},
		Deployments: []objectset.Deployment{{Name: deployment, Model: Model, MaxLoading: 2}},
	}
	for _, zone := range zones {
		set.Zones = append(set.Zones, objectset.Zone{Name: zone, Region: "region-1"})
	}
	f.addUpstreams(set)
	f.addAccounts(set)
	return set
}

func (f *Fleet) addUpstreams(set *objectset.Set) {
	for i, shape := range f.Shape.Upstreams {
		_, advertise := f.endpoint(agentGroup, i, rpcPort)
		set.Upstreams = append(set.Upstreams, objectset.Upstream{
			Name: UpstreamName(i), Deployment: deployment, Zone: zoneOf(i), AgentAddress: advertise,
			HonorsFencing: !shape.IgnoresFencing, PrefillTokensPerSecond: shape.PrefillRate, DecodeTokensPerSecond: shape.DecodeRate,
		})
	}
	if f.Shape.Services > 0 {
		service := objectset.Service{Name: Service, Rank: UrgentRank, NonIdempotent: []string{"POST /reservations", "DELETE /reservations"}}
		for i := range f.Shape.Services {
			_, advertise := f.endpoint(serviceAgentGroup, i, rpcPort)
			service.AgentAddresses = append(service.AgentAddresses, advertise)
		}
		set.Services = append(set.Services, service)
	}
	for i := range f.Shape.Stores {
		_, advertise := f.endpoint(storeGroup, i, rpcPort)
		set.Stores = append(set.Stores, objectset.Store{
			Name: fmt.Sprintf("store-%d", i+1), Zone: zoneOf(i), Address: advertise, LinkBytesPerSecond: f.Shape.StoreLinkRate,
		})
	}
}

func (f *Fleet) addAccounts(set *objectset.Set) {
	for i := range f.Shape.Accounts {
		account := objectset.Account{
			Name: AccountName(i), KeySHA256: []string{sha256Hex(AccountKey(i))}, Weight: 1, Models: []string{Model}, MaxConcurrent: 256,
		}
		if f.Shape.Services > 0 {
			account.Services = []string{Service}
		}
		set.Accounts = append(set.Accounts, account)
	}
}

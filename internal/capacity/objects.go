package capacity

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/wasabishunt/wasabishunt/objectset"
)

const (
	modelName      = "model"
	weightVersion  = modelName + "-v1"
	deploymentName = "deployment"
	rankName       = "urgent"
	accountKey     = "example-key"
)

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// newSet returns a valid set with the given numbers of upstreams and accounts.
func newSet(upstreams, accounts int) *objectset.Set {
	set := &objectset.Set{
		Zones:          []objectset.Zone{{Name: "zone-1", Region: "region-1"}},
		Ranks:          []objectset.Rank{{Name: rankName, Floor: 0.3, Worth: 1, FirstTokenMs: 720}},
		Models:         []objectset.Model{{Name: modelName, WeightVersion: weightVersion, DefaultRank: rankName, BytesPerToken: 64}},
		WeightVersions: []objectset.WeightVersion{{Name: weightVersion, Model: modelName, Source: "weights/model/v1"}},
		Deployments:    []objectset.Deployment{{Name: deploymentName, Model: modelName, MaxLoading: 2}},
	}
	for i := range upstreams {
		set.Upstreams = append(set.Upstreams, objectset.Upstream{
			Name: fmt.Sprintf("upstream-%05d", i), Deployment: deploymentName, Zone: "zone-1",
			AgentAddress:           fmt.Sprintf("127.%d.%d.%d:7000", 1+i/62500, i/250%250, 1+i%250),
			PrefillTokensPerSecond: 20000, DecodeTokensPerSecond: 50,
		})
	}
	for i := range accounts {
		set.Accounts = append(set.Accounts, objectset.Account{
			Name: fmt.Sprintf("account-%05d", i), KeySHA256: []string{sha256Hex(fmt.Sprint(accountKey, i))},
			Weight: 1, Models: []string{modelName}, MaxConcurrent: 256,
		})
	}
	return set
}

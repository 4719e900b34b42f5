package control

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/operators"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// Operators authenticates operators by their tokens.
type Operators struct{ operators.List }

// ReadOperators reads operators, one per line: a name and the SHA-256 hash of the token in hex.
func ReadOperators(file io.Reader) (*Operators, []failure.Problem) {
	o := &Operators{}
	return o, o.Load(file)
}

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Authenticate checks an operator's token. A token that is also the key of a client account is refused.
func (o *Operators) Authenticate(operator *controlpb.Operator, set *objectset.Set) error {
	hash := tokenHash(operator.GetToken())
	expected, ok := o.Hash(operator.GetName())
	if !ok || subtle.ConstantTimeCompare([]byte(hash), []byte(expected)) != 1 {
		return failure.New(failure.Unauthorized, failure.NotRun, "there is no operator %q with this token", operator.GetName())
	}
	if account, ok := accountWithKey(set, hash); ok {
		return failure.New(failure.Forbidden, failure.NotRun, "the token is a key of client account %q", account)
	}
	return nil
}

// accountWithKey returns the name of the client account that has a key with the given hash.
func accountWithKey(set *objectset.Set, hash string) (string, bool) {
	for i := range set.Accounts {
		for _, key := range set.Accounts[i].KeySHA256 {
			if key == hash {
				return set.Accounts[i].Name, true
			}
		}
	}
	return "", false
}

// operatorTokenProblems returns a problem for each account key of a set that is also an operator's token.
func (o *Operators) operatorTokenProblems(set *objectset.Set) []failure.Problem {
	operatorByHash := o.NamesByHash()
	var problems []failure.Problem
	for i := range set.Accounts {
		for _, key := range set.Accounts[i].KeySHA256 {
			if operatorByHash[key] != "" {
				problems = append(problems, failure.Problem{
					Path:    fmt.Sprintf("accounts[%s].key_sha256", set.Accounts[i].Name),
					Message: fmt.Sprintf("is also the token of operator %q", operatorByHash[key]),
				})
			}
		}
	}
	return problems
}

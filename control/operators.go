package control

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// Operators holds the SHA-256 hashes of the operators' tokens by name.
type Operators struct {
	hashes map[string]string
}

// ReadOperators reads lines of a name and a hex SHA-256 hash. Empty lines and lines that start with # are skipped.
func ReadOperators(file io.Reader) (*Operators, []failure.Problem) {
	o := &Operators{hashes: map[string]string{}}
	var problems []failure.Problem
	scanner := bufio.NewScanner(file)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		if fault := o.add(strings.Fields(text)); fault != "" {
			problems = append(problems, failure.Problem{Path: fmt.Sprintf("line %d", line), Message: fault})
		}
	}
	if err := scanner.Err(); err != nil {
		problems = append(problems, failure.Problem{Path: "file", Message: err.Error()})
	}
	return o, problems
}

func (o *Operators) add(fields []string) string {
	if len(fields) != 2 {
		return "must be a name and a SHA-256 hash"
	}
	name, hash := fields[0], strings.ToLower(fields[1])
	if raw, err := hex.DecodeString(hash); err != nil || len(raw) != sha256.Size {
		return "the second field is not a hex SHA-256 hash"
	}
	if o.hashes[name] != "" {
		return fmt.Sprintf("operator %q is listed twice", name)
	}
	o.hashes[name] = hash
	return ""
}

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Authenticate checks an operator's token. A key of a client account is refused even if it is listed.
func (o *Operators) Authenticate(operator *controlpb.Operator, set *objectset.Set) error {
	hash := tokenHash(operator.GetToken())
	expected, ok := o.hashes[operator.GetName()]
	if !ok || subtle.ConstantTimeCompare([]byte(hash), []byte(expected)) != 1 {
		return failure.New(failure.Unauthorized, failure.NotRun, "operator %q is not known by this token", operator.GetName())
	}
	if account, ok := accountOf(set, hash); ok {
		return failure.New(failure.Forbidden, failure.NotRun, "the token is a key of client account %q", account)
	}
	return nil
}

func accountOf(set *objectset.Set, hash string) (string, bool) {
	for i := range set.Accounts {
		for _, key := range set.Accounts[i].KeySHA256 {
			if key == hash {
				return set.Accounts[i].Name, true
			}
		}
	}
	return "", false
}

// keysOfAccounts lists the accounts of a set that use an operator's token as a key.
func (o *Operators) keysOfAccounts(set *objectset.Set) []failure.Problem {
	owner := map[string]string{}
	for name, hash := range o.hashes {
		owner[hash] = name
	}
	var problems []failure.Problem
	for i := range set.Accounts {
		for _, key := range set.Accounts[i].KeySHA256 {
			if owner[key] != "" {
				problems = append(problems, failure.Problem{
					Path:    fmt.Sprintf("accounts[%s].key_sha256", set.Accounts[i].Name),
					Message: fmt.Sprintf("is the token of operator %q", owner[key]),
				})
			}
		}
	}
	return problems
}

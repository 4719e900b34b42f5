// Package configcheck reports mistakes and contradictions in a configuration before it is submitted, and its differences from
// the version in force. It does no I/O.
package configcheck

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/trafficset"
)

// Kind is the kind of a finding.
type Kind string

// Kinds of findings.
const (
	// Invalid entries are refused when the configuration is submitted.
	Invalid Kind = "invalid"
	// HiddenRoute is a route or pattern that no request can match.
	HiddenRoute Kind = "hidden_route"
	// UnusedService is a service that no request can reach.
	UnusedService Kind = "unused_service"
	// ZeroWeight is a target that gets no requests.
	ZeroWeight Kind = "zero_weight"
	// NoKeys is an account that no caller can use.
	NoKeys Kind = "no_keys"
	// TargetAboveTimeout is a latency target that is longer than the time limit.
	TargetAboveTimeout Kind = "target_above_timeout"
	// UnusableAttempts are further attempts on a route whose requests may not be repeated.
	UnusableAttempts Kind = "unusable_attempts"
	// HeaderAboveBody is a limit of the header that is above the limit of the body.
	HeaderAboveBody Kind = "header_above_body"
	// TimeoutAboveIdle is a timeout that is above the idle limit.
	TimeoutAboveIdle Kind = "timeout_above_idle"
	// Difference is a difference from the version in force.
	Difference Kind = "difference"
)

// Finding is one mistake, contradiction or difference.
type Finding struct {
	Path    string `json:"path"`
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
}

// DecodeFunc decodes and validates a published set of the platform. With an error it may also return the set as far as it was
// decoded.
type DecodeFunc func(document []byte) (*trafficset.Set, error)

// findings collects the findings of a check.
type findings []Finding

func (f *findings) add(path string, kind Kind, format string, args ...any) {
	*f = append(*f, Finding{Path: path, Kind: kind, Message: fmt.Sprintf(format, args...)})
}

// addError adds the problems of an error, or the error itself if it lists none.
func (f *findings) addError(prefix string, err error) {
	e := failure.Of(err)
	for _, p := range e.Problems {
		f.add(prefix+p.Path, Invalid, "%s", p.Message)
	}
	if len(e.Problems) == 0 {
		f.add(prefix+"$", Invalid, "%s", err)
	}
}

// sorted returns the findings sorted by path, kind and message, without repetitions. It is never nil.
func (f findings) sorted() []Finding {
	list := append([]Finding{}, f...)
	slices.SortFunc(list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Message, b.Message))
	})
	return slices.Compact(list)
}

// configuration is a decoded document. At most one of the sets is not nil.
type configuration struct {
	published bool
	traffic   *trafficset.Set
	objects   *objectset.Set
	err       error
}

// IsPublishedSet reports whether a document is a published set of the platform: a JSON object with routes, services and version.
func IsPublishedSet(document []byte) bool {
	var fields map[string]json.RawMessage
	if json.Unmarshal(document, &fields) != nil {
		return false
	}
	for _, name := range []string{"routes", "services", "version"} {
		if _, ok := fields[name]; !ok {
			return false
		}
	}
	return true
}

// decode never panics, also if the decoder of published sets does.
func decode(document []byte, decodeTraffic DecodeFunc) (c configuration) {
	defer func() {
		if r := recover(); r != nil {
			c = configuration{published: c.published, err: fmt.Errorf("the document cannot be parsed: %v", r)}
		}
	}()
	c.published = IsPublishedSet(document)
	switch {
	case !c.published:
		c.objects, c.err = objectset.Parse(document)
	case decodeTraffic == nil:
		c.err = fmt.Errorf("published sets of the platform are not supported by this program")
	default:
		c.traffic, c.err = decodeTraffic(document)
	}
	return c
}

// Check returns the findings of a document, sorted. With against, it includes the differences from that document.
func Check(document, against []byte, decodeTraffic DecodeFunc) []Finding {
	var f findings
	c := decode(document, decodeTraffic)
	if c.err != nil {
		f.addError("", c.err)
	}
	if c.traffic != nil {
		f.traffic(c.traffic)
	}
	if c.objects != nil {
		f.objects(c.objects)
	}
	if against != nil {
		f.compare(c, decode(against, decodeTraffic))
	}
	return f.sorted()
}

// traffic adds the findings of a published set.
func (f *findings) traffic(set *trafficset.Set) {
	f.hiddenRoutes(set)
	f.unusedServices(set)
	f.zeroWeights(set)
	f.accountsWithoutKeys(set)
	f.targetsAboveTimeouts(set)
	f.unusableAttempts(set)
	f.headerAboveBody(set)
	f.timeoutsAboveIdle(set)
}

// objects adds the findings of an object set.
func (f *findings) objects(set *objectset.Set) {
	f.hiddenPatterns(set)
	f.unusedObjectServices(set)
	f.objectAccountsWithoutKeys(set)
}

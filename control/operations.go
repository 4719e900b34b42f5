package control

import (
	"bytes"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// maxOutcomes is the number of operation ids whose outcomes are kept: about six days at 11,000 changes a day.
const maxOutcomes = 65_536

// outcomes holds the first outcome of each operation id. Above the limit the oldest is dropped.
type outcomes struct {
	limit int
	byID  map[string]*controlpb.OperationOutcome
	// order is a ring of the ids; next is the position of the oldest once the ring is full.
	order []string
	next  int
}

func newOutcomes(limit int) *outcomes {
	return &outcomes{limit: limit, byID: map[string]*controlpb.OperationOutcome{}}
}

func (o *outcomes) get(id string) *controlpb.OperationOutcome { return o.byID[id] }

func (o *outcomes) add(outcome *controlpb.OperationOutcome) {
	o.byID[outcome.OperationId] = outcome
	if len(o.order) < o.limit {
		o.order = append(o.order, outcome.OperationId)
		return
	}
	delete(o.byID, o.order[o.next])
	o.order[o.next] = outcome.OperationId
	o.next = (o.next + 1) % o.limit
}

// list returns the outcomes, oldest first.
func (o *outcomes) list() []*controlpb.OperationOutcome {
	all := make([]*controlpb.OperationOutcome, 0, len(o.order))
	for i := range o.order {
		all = append(all, o.byID[o.order[(o.next+i)%len(o.order)]])
	}
	return all
}

var errOperationReused = failure.New(failure.KeyConflict, failure.NotRun, "the operation id was used for another change")

func (s *StateMachine) publish(now int64, c *controlpb.PublishCommand) proto.Message {
	if outcome := s.operations.get(c.OperationId); outcome != nil {
		if !bytes.Equal(outcome.PayloadHash, c.PayloadHash) || outcome.Publish == nil {
			return &controlpb.PublishResponse{Failure: failureMessage(errOperationReused)}
		}
		return outcome.Publish
	}
	response := s.publishOnce(now, c)
	s.trail.Append(&controlpb.AuditRecord{
		UnixMs: now, Operator: c.Operator, OperationId: c.OperationId, Action: "publish",
		Accepted: response.Failure == nil, FromVersion: c.ExpectVersion, ToVersion: response.Version,
		Reason: response.Failure.GetMessage(),
	})
	// A document that failed validation changes nothing and would fail again, so the id is not recorded and may be used
	// for the corrected document.
	if c.RefusedReason == "" {
		s.operations.add(&controlpb.OperationOutcome{
			OperationId: c.OperationId, PayloadHash: c.PayloadHash, Publish: response,
		})
	}
	return response
}

func (s *StateMachine) publishOnce(now int64, c *controlpb.PublishCommand) *controlpb.PublishResponse {
	err := s.acceptSet(now, c)
	response := &controlpb.PublishResponse{}
	response.CurrentOperator, response.CurrentUnixMs = s.history.Author()
	_, response.CurrentVersion = s.history.Current()
	if err != nil {
		response.Failure = failureMessage(err)
		return response
	}
	response.Version = response.CurrentVersion
	return response
}

func (s *StateMachine) acceptSet(now int64, c *controlpb.PublishCommand) error {
	if c.RefusedReason != "" {
		return failure.New(failure.InvalidSet, failure.NotRun, "%s", c.RefusedReason)
	}
	if c.Delta {
		return s.history.AcceptChanges(c.ExpectVersion, c.Changes, c.Operator, now)
	}
	document, err := decompress(c.Document)
	if err != nil {
		return err
	}
	set, err := objectset.FromCanonical(document)
	if err != nil {
		return err
	}
	return s.history.Accept(c.ExpectVersion, set, c.Operator, now)
}

func drainFingerprint(q *controlpb.DrainRequest) []byte {
	return fmt.Appendf(nil, "%q %q %v", q.Operator.GetName(), q.Upstream, q.Undo)
}

func (s *StateMachine) drain(now int64, q *controlpb.DrainRequest) proto.Message {
	fingerprint := drainFingerprint(q)
	if outcome := s.operations.get(q.OperationId); outcome != nil {
		if !bytes.Equal(outcome.PayloadHash, fingerprint) || outcome.Drain == nil {
			return &controlpb.DrainResponse{Failure: failureMessage(errOperationReused)}
		}
		return outcome.Drain
	}
	response := &controlpb.DrainResponse{}
	if q.Undo || s.knownUpstream(q.Upstream) {
		s.members.Drain(now, q.Upstream, q.Undo)
	} else {
		response.Failure = failureMessage(failure.New(failure.NotFound, failure.NotRun, "there is no upstream %q", q.Upstream))
	}
	reason := "drain " + q.Upstream
	if q.Undo {
		reason = "undo drain of " + q.Upstream
	}
	s.trail.Append(&controlpb.AuditRecord{
		UnixMs: now, Operator: q.Operator.GetName(), OperationId: q.OperationId, Action: "drain",
		Accepted: response.Failure == nil, Reason: reason,
	})
	s.operations.add(&controlpb.OperationOutcome{OperationId: q.OperationId, PayloadHash: fingerprint, Drain: response})
	return response
}

func evacuateFingerprint(q *controlpb.EvacuateRequest) []byte {
	return fmt.Appendf(nil, "evacuate %q %q %v", q.Operator.GetName(), q.AvailabilityZone, q.Undo)
}

// evacuate takes the upstreams of a zone out of service, or back into service. A zone that nothing names any more can still be taken back.
func (s *StateMachine) evacuate(now int64, q *controlpb.EvacuateRequest) proto.Message {
	fingerprint := evacuateFingerprint(q)
	if outcome := s.operations.get(q.OperationId); outcome != nil {
		if !bytes.Equal(outcome.PayloadHash, fingerprint) || outcome.Evacuate == nil {
			return &controlpb.EvacuateResponse{Failure: failureMessage(errOperationReused)}
		}
		return outcome.Evacuate
	}
	response := &controlpb.EvacuateResponse{}
	if slices.Contains(s.members.Evacuated(), q.AvailabilityZone) || s.knownZone(q.AvailabilityZone) {
		s.members.Evacuate(q.AvailabilityZone, q.Undo)
	} else {
		response.Failure = failureMessage(failure.New(failure.NotFound, failure.NotRun, "there is no availability zone %q", q.AvailabilityZone))
	}
	reason := "evacuate " + q.AvailabilityZone
	if q.Undo {
		reason = "undo evacuation of " + q.AvailabilityZone
	}
	s.trail.Append(&controlpb.AuditRecord{
		UnixMs: now, Operator: q.Operator.GetName(), OperationId: q.OperationId, Action: "evacuate",
		Accepted: response.Failure == nil, Reason: reason,
	})
	s.operations.add(&controlpb.OperationOutcome{OperationId: q.OperationId, PayloadHash: fingerprint, Evacuate: response})
	return response
}

// knownZone reports whether the set names an availability zone or a registered process is in it.
func (s *StateMachine) knownZone(zone string) bool {
	if zone == "" {
		return false
	}
	set, _ := s.history.Current()
	if slices.ContainsFunc(set.Zones, func(z objectset.Zone) bool { return z.Name == zone }) {
		return true
	}
	found := false
	s.members.Each(func(r *controlpb.ProcessRecord) bool {
		found = r.Registration.AvailabilityZone == zone
		return !found
	})
	return found
}

// knownUpstream reports whether a name is an upstream or service of the set, or is served by a registered process.
func (s *StateMachine) knownUpstream(name string) bool {
	set, _ := s.history.Current()
	for i := range set.Upstreams {
		if set.Upstreams[i].Name == name {
			return true
		}
	}
	for i := range set.Services {
		if set.Services[i].Name == name {
			return true
		}
	}
	found := false
	s.members.Each(func(r *controlpb.ProcessRecord) bool {
		found = r.Registration.Serves == name
		return !found
	})
	return found
}

func (s *StateMachine) memberAudit(now int64, c *controlpb.MemberAudit) proto.Message {
	record := proto.Clone(c.Record).(*controlpb.AuditRecord)
	record.UnixMs = now
	s.trail.Append(record)
	return c
}

// Package failure defines the typed errors that are passed between processes.
package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Execution states whether a refused or failed request ran.
type Execution string

// Execution values, as used in error bodies and messages.
const (
	NotRun  Execution = "not_run"
	Ran     Execution = "ran"
	Unknown Execution = "unknown"
)

// Kind names the cause of a failure.
type Kind string

// Kinds of failure. HTTPStatus returns the status of each.
const (
	InvalidRequest      Kind = "invalid_request"
	BodyTooLarge        Kind = "body_too_large"
	Unauthorized        Kind = "unauthorized"
	Forbidden           Kind = "forbidden"
	ModelNotFound       Kind = "model_not_found"
	ServiceNotFound     Kind = "service_not_found"
	NotFound            Kind = "not_found"
	KeyRequired         Kind = "idempotency_key_required"
	KeyTooOld           Kind = "key_too_old"
	KeyConflict         Kind = "key_conflict"
	InProgress          Kind = "in_progress"
	VersionConflict     Kind = "version_conflict"
	InvalidSet          Kind = "invalid_set"
	Overloaded          Kind = "overloaded"
	DeadlineUnreachable Kind = "deadline_unreachable"
	DeadlineExceeded    Kind = "deadline_exceeded"
	Draining            Kind = "draining"
	Fenced              Kind = "fenced"
	SetVersionBehind    Kind = "set_version_behind"
	StaleSet            Kind = "stale_set"
	WrongWeightVersion  Kind = "wrong_weight_version"
	NoUpstream          Kind = "no_upstream"
	StreamBroken        Kind = "stream_broken"
	UpstreamFailed      Kind = "upstream_failed"
	NotLeader           Kind = "not_leader"
	NoQuorum            Kind = "no_quorum"
	OutcomeUnknown      Kind = "outcome_unknown"
	StorageFailed       Kind = "storage_failed"
	IdentityLost        Kind = "identity_lost"
	Quarantined         Kind = "quarantined"
	MemoryExhausted     Kind = "memory_exhausted"
	BodyTimeout         Kind = "body_timeout"
	Canceled            Kind = "canceled"
	Internal            Kind = "internal"
)

var statuses = map[Kind]int{
	InvalidRequest:      http.StatusBadRequest,
	BodyTooLarge:        http.StatusRequestEntityTooLarge,
	Unauthorized:        http.StatusUnauthorized,
	Forbidden:           http.StatusForbidden,
	ModelNotFound:       http.StatusNotFound,
	ServiceNotFound:     http.StatusNotFound,
	NotFound:            http.StatusNotFound,
	KeyRequired:         http.StatusBadRequest,
	KeyTooOld:           http.StatusConflict,
	KeyConflict:         http.StatusConflict,
	InProgress:          http.StatusConflict,
	VersionConflict:     http.StatusConflict,
	InvalidSet:          http.StatusUnprocessableEntity,
	Overloaded:          http.StatusTooManyRequests,
	DeadlineUnreachable: http.StatusTooManyRequests,
	DeadlineExceeded:    http.StatusGatewayTimeout,
	StreamBroken:        http.StatusBadGateway,
	UpstreamFailed:      http.StatusBadGateway,
	OutcomeUnknown:      http.StatusGatewayTimeout,
	BodyTimeout:         http.StatusRequestTimeout,
	Canceled:            499,
	Internal:            http.StatusInternalServerError,
}

// HTTPStatus returns the status of the response to a caller for this kind.
// Transient conditions such as Draining or NoQuorum are 503.
func (k Kind) HTTPStatus() int {
	if status, ok := statuses[k]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// Problem is one error in a document or in settings.
type Problem struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Error is a typed failure.
type Error struct {
	Kind      Kind
	Message   string
	Execution Execution
	// RetryAfter is how long the caller should wait before a retry; 0 means that no advice is given.
	RetryAfter time.Duration
	Problems   []Problem
	Cause      error
}

// New returns an Error with a formatted message.
func New(kind Kind, execution Execution, format string, args ...any) *Error {
	return &Error{Kind: kind, Execution: execution, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error with a cause and a formatted message.
func Wrap(cause error, kind Kind, execution Execution, format string, args ...any) *Error {
	e := New(kind, execution, format, args...)
	e.Cause = cause
	return e
}

func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Message, e.Cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the first Error in the chain of err. Any other error is wrapped as Internal with an unknown outcome, because an
// unclassified failure must never be reported as not run.
func Of(err error) *Error {
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return Wrap(err, Internal, Unknown, "unclassified error")
}

// Is reports whether the chain of err holds an Error of the given kind.
func Is(err error, kind Kind) bool {
	e, ok := errors.AsType[*Error](err)
	return ok && e.Kind == kind
}

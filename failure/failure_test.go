package failure_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wasabishunt/wasabishunt/failure"
)

// Guards against reporting an unclassified error as not run.
func TestUnclassifiedErrorHasUnknownOutcome(t *testing.T) {
	e := failure.Of(errors.New("connection reset"))
	assert.Equal(t, failure.Unknown, e.Execution)
	assert.Equal(t, failure.Internal, e.Kind)
}

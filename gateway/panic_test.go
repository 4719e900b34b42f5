package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// panickingDialect panics when it reads a request or an answer.
type panickingDialect struct {
	testDialect
	inAnswer bool
}

func (d panickingDialect) Attributes(r *http.Request) (Attributes, error) {
	if !d.inAnswer {
		panic("attributes")
	}
	return d.testDialect.Attributes(r)
}

func (d panickingDialect) Answer(*http.Response) Answer { panic("answer") }

// Guards against a panic that ends a connection with neither an answer nor a refusal, and against one that says that a sent
// request did not run.
func TestPanicIsAnswered(t *testing.T) {
	for _, inAnswer := range []bool{false, true} {
		s := newSystem(t, good)
		s.gateway.options.Dialect = panickingDialect{inAnswer: inAnswer}
		status, body, err := s.call("POST", "/once/", "")
		require.NoError(t, err)
		require.Equal(t, 500, status)
		require.Contains(t, body, `"execution":"unknown"`)
	}
}

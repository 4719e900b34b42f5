package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
)

// FailureBody is the body of a failed response, and the data of an error event within a stream.
type FailureBody struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail describes a failure.
type FailureDetail struct {
	Type            string `json:"type" doc:"Kind of the failure"`
	Message         string `json:"message"`
	Code            string `json:"code" doc:"Same as type"`
	Execution       string `json:"execution" enum:"not_run,ran,unknown" doc:"Whether the request ran; not_run is always safe to repeat"`
	RetryAfterMs    int64  `json:"retry_after_ms" doc:"Advised wait before a retry in milliseconds; 0 means none"`
	RequestID       string `json:"request_id"`
	ClientRequestID string `json:"client_request_id,omitempty"`
}

func errorBody(e *failure.Error, requestID, clientID string) FailureBody {
	return FailureBody{Error: FailureDetail{
		Type: string(e.Kind), Message: e.Message, Code: string(e.Kind), Execution: string(e.Execution),
		RetryAfterMs: e.RetryAfter.Milliseconds(), RequestID: requestID, ClientRequestID: clientID,
	}}
}

// writeError writes a failure as the response.
func (s *Server) writeError(w http.ResponseWriter, e *failure.Error, requestID, clientID string) {
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	s.writeJSON(w, e.Kind.HTTPStatus(), errorBody(e, requestID, clientID))
}

// writeJSON writes a JSON response within the write timeout.
func (s *Server) writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.writeBody(w, status, "application/json", encoded)
}

func (s *Server) writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.options.WriteTimeout))
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

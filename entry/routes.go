package entry

import (
	"net/http"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/wasabishunt/wasabishunt/failure"
)

// routes builds the HTTP interface. huma serves its description (/docs and /openapi.json); the handlers parse requests
// themselves, because every failure must have a FailureBody.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("wasabishunt entry", "1")
	api := humago.New(mux, config)
	s.routeChat(api)
	s.routeServices(api)
	s.routeOperations(api)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.writeError(w, failure.New(failure.NotFound, failure.NotRun, "%s %s does not exist", r.Method, r.URL.Path), "", "")
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		// Replaces the write deadline that an earlier response on the same connection has left.
		_ = controller.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout))
		// The HTTP server reads the rest of a body that the handler did not read; the deadline keeps a slow caller from
		// holding the connection open.
		if r.ContentLength != 0 {
			_ = controller.SetReadDeadline(time.Now().Add(s.options.BodyTimeout))
		}
		mux.ServeHTTP(w, r)
	})
}

// route adds an operation to the description and registers its handler with huma's adapter. huma.Register is not used,
// because it reads the body under its own limits and writes failures in its own format.
func route(api huma.API, operation huma.Operation, handler http.HandlerFunc) {
	documented := operation
	documented.Path = strings.ReplaceAll(operation.Path, "...}", "}")
	api.OpenAPI().AddOperation(&documented)
	api.Adapter().Handle(&operation, func(ctx huma.Context) {
		r, w := humago.Unwrap(ctx)
		handler(w, r)
	})
}

func headerParam(name, description string) *huma.Param {
	return &huma.Param{Name: name, In: "header", Description: description, Schema: &huma.Schema{Type: "string"}}
}

// callerHeaders describes the request headers that all calls have in common.
func callerHeaders() []*huma.Param {
	return []*huma.Param{
		headerParam("Authorization", "Bearer KEY of the client account"),
		headerParam(headerRank, "Rank of the request; the default is that of the model or service"),
		headerParam(headerDeadline, "Time for the whole answer in milliseconds from the arrival of the request"),
		headerParam(headerRequestID, "The caller's own id, echoed as client_request_id; the response carries the id of this system"),
	}
}

// responses describes an operation's answer and its failures.
func responses(api huma.API, answer reflect.Type) map[string]*huma.Response {
	content := func(t reflect.Type) map[string]*huma.MediaType {
		return map[string]*huma.MediaType{"application/json": {Schema: huma.SchemaFromType(api.OpenAPI().Components.Schemas, t)}}
	}
	ok := &huma.Response{Description: "Answer"}
	if answer != nil {
		ok.Content = content(answer)
	}
	return map[string]*huma.Response{
		"200":     ok,
		"default": {Description: "Failure", Content: content(reflect.TypeFor[FailureBody]())},
	}
}

func (s *Server) routeChat(api huma.API) {
	schema := huma.SchemaFromType(api.OpenAPI().Components.Schemas, reflect.TypeFor[ChatRequest]())
	route(api, huma.Operation{
		OperationID: "create-chat-completion", Method: http.MethodPost, Path: "/v1/chat/completions",
		Summary:     "Answer a conversation, streamed as server-sent events or whole",
		Parameters:  callerHeaders(),
		RequestBody: &huma.RequestBody{Required: true, Content: map[string]*huma.MediaType{"application/json": {Schema: schema}}},
		Responses:   responses(api, reflect.TypeFor[ChatCompletion]()),
	}, s.withCall(s.chat))
	route(api, huma.Operation{
		OperationID: "list-models", Method: http.MethodGet, Path: "/v1/models", Summary: "List the models that the account may use",
		Parameters: callerHeaders(), Responses: responses(api, reflect.TypeFor[ModelList]()),
	}, s.withCall(s.models))
}

func (s *Server) routeServices(api huma.API) {
	parameters := append(callerHeaders(),
		headerParam(headerIdempotencyKey, "Needed for calls that may run at most once"),
		headerParam(headerIssuedAt, "Time at which the key was made (RFC 3339); not needed for a UUIDv7"),
		&huma.Param{Name: "service", In: "path", Required: true, Schema: &huma.Schema{Type: "string"}},
		&huma.Param{Name: "path", In: "path", Required: true, Schema: &huma.Schema{Type: "string"}})
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		route(api, huma.Operation{
			OperationID: "call-service-" + strings.ToLower(method), Method: method, Path: "/services/{service}/{path...}",
			Summary: "Call a plain service", Parameters: parameters, Responses: responses(api, nil),
		}, s.withCall(s.service))
	}
}

func (s *Server) routeOperations(api huma.API) {
	simple := func(id, path, summary string, handler http.HandlerFunc) {
		route(api, huma.Operation{OperationID: id, Method: http.MethodGet, Path: path, Summary: summary, Responses: responses(api, nil)}, handler)
	}
	simple("health", "/healthz", "Whether the process runs", func(w http.ResponseWriter, _ *http.Request) {
		s.writeJSON(w, http.StatusOK, map[string]bool{"ok": true})
	})
	simple("ready", "/readyz", "Whether callers should be sent here", func(w http.ResponseWriter, _ *http.Request) {
		if err := s.Ready(); err != nil {
			s.writeError(w, failure.Of(err), "", "")
			return
		}
		s.writeJSON(w, http.StatusOK, map[string]bool{"ok": true})
	})
	simple("debug-request", "/debug/requests/{id}", "Decisions and outcome of a past request, for operators", s.debugRequest)
}

// debugRequest shows a past request to an operator.
func (s *Server) debugRequest(w http.ResponseWriter, r *http.Request) {
	token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if s.options.Operators == nil || !s.options.Operators.HasToken(token) {
		s.writeError(w, failure.New(failure.Unauthorized, failure.NotRun, "an operator token is needed"), "", "")
		return
	}
	record, ok := s.history.find(r.PathValue("id"))
	if !ok {
		s.writeError(w, failure.New(failure.NotFound, failure.NotRun, "request %q is not in the history of this entry", r.PathValue("id")), "", "")
		return
	}
	s.writeJSON(w, http.StatusOK, record)
}

// ModelList is the answer of GET /v1/models.
type ModelList struct {
	Object string      `json:"object"`
	Data   []ModelInfo `json:"data"`
}

// ModelInfo is one model.
type ModelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) models(c *call) error {
	list := ModelList{Object: "list", Data: []ModelInfo{}}
	for _, name := range c.account.Models {
		if _, ok := c.catalog.models[name]; ok {
			list.Data = append(list.Data, ModelInfo{ID: name, Object: "model", OwnedBy: "wasabishunt"})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	c.responseStarted = true
	s.writeJSON(c.writer, http.StatusOK, list)
	return nil
}

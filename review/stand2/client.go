package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// deadline is the time limit of a request.
	deadline = 4 * time.Second
	// documentTokens and questionTokens are the tokens of the parts of a prompt.
	documentTokens = 3760
	questionTokens = 1670
)

// request is one client attempt.
type request struct {
	id     string
	sentAt time.Time
}

// send sends a prompt with these shared parts to a node, with the key of a tenant. It returns at once.
func (s *system) send(kind, tenant string, node int, parts ...string) request {
	r := request{id: fmt.Sprintf("%s-%d", kind, s.sent.Add(1)), sentAt: time.Now()}
	s.record.note("request %s of %s with parts %s is sent to front-%d", r.id, tenant, strings.Join(parts, " "), node+1)
	go s.exchange(r, tenant, node, parts)
	return r
}

func (s *system) exchange(r request, tenant string, node int, parts []string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.at(groupNode, node+1, portFront)+"/puxa400/2f", strings.NewReader("question "+r.id))
	if err != nil {
		s.record.note("request %s cannot be built: %v", r.id, err)
		return
	}
	var prefix []string
	for _, part := range parts {
		prefix = append(prefix, fmt.Sprintf("%s:%d", part, documentTokens))
	}
	prefix = append(prefix, fmt.Sprintf("%x:%d", r.id, questionTokens))
	call.Host = host
	for name, value := range map[string]string{
		"Request-Id": r.id, "Model": modelName, "Token-Usage": fmt.Sprintf("%d,%d", len(parts)*documentTokens+questionTokens, streamEvents),
		"Prefix-Hash": strings.Join(prefix, ","), "Deadline-Ms": fmt.Sprint(deadline.Milliseconds()), "X-Api-Key": tenants[tenant],
	} {
		call.Header.Set(name, value)
	}
	response, err := s.client.Do(call)
	if err != nil {
		s.record.note("request %s gets no answer: %v", r.id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusOK {
		s.record.note("request %s gets 200, %d bytes, error %v", r.id, len(body), err)
		return
	}
	s.record.note("request %s gets %d, Retry-After %q, %s", r.id, response.StatusCode, response.Header.Get("Retry-After"), body)
}

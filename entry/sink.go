package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
)

// sink writes an answer to the caller.
type sink interface {
	token(text string) error
	end(finishReason string, u usage) error
	// fail ends a started answer with an error event; it does nothing if the response has not started.
	fail(e *failure.Error)
	// broken reports whether writing to the caller has failed.
	broken() bool
}

// usage holds token counts.
type usage struct{ Prompt, Completion, Cached int64 }

// Usage is the token count of an answer.
type Usage struct {
	PromptTokens        int64        `json:"prompt_tokens"`
	CompletionTokens    int64        `json:"completion_tokens"`
	TotalTokens         int64        `json:"total_tokens"`
	PromptTokensDetails UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails gives the part of the prompt tokens that came from the cache.
type UsageDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

func (u usage) body() *Usage {
	return &Usage{
		PromptTokens: u.Prompt, CompletionTokens: u.Completion, TotalTokens: u.Prompt + u.Completion,
		PromptTokensDetails: UsageDetails{CachedTokens: u.Cached},
	}
}

// ChatCompletion is a complete answer, or one chunk of a streamed one.
type ChatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   *Usage       `json:"usage,omitempty"`
	// ClientRequestID echoes X-Request-Id.
	ClientRequestID string `json:"client_request_id,omitempty"`
}

// ChatChoice is the only choice of an answer.
type ChatChoice struct {
	Index        int          `json:"index"`
	Message      *ChatAnswer  `json:"message,omitempty"`
	Delta        *AnswerDelta `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatAnswer is the message of a complete answer.
type ChatAnswer struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// AnswerDelta is the part of the message in one chunk.
type AnswerDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

func newSink(c *call, request *ChatRequest) sink {
	base := completion{call: c, model: request.Model, created: time.Now().Unix()}
	if !request.Stream {
		return &bufferedSink{completion: base}
	}
	includeUsage := request.StreamOptions != nil && request.StreamOptions.IncludeUsage
	return &streamSink{completion: base, includeUsage: includeUsage}
}

// completion holds the fields that all chunks of an answer have in common.
type completion struct {
	call    *call
	model   string
	created int64
}

func (c completion) body(object string, choices ...ChatChoice) ChatCompletion {
	if choices == nil {
		choices = []ChatChoice{}
	}
	return ChatCompletion{
		ID: "chatcmpl-" + c.call.id, Object: object, Created: c.created, Model: c.model,
		Choices: choices, ClientRequestID: c.call.clientID,
	}
}

// bufferedSink collects the answer and writes it at the End event. Its size is bounded by Options.MaxTokens.
type bufferedSink struct {
	completion
	text strings.Builder
}

func (s *bufferedSink) token(text string) error {
	s.text.WriteString(text)
	return nil
}

func (s *bufferedSink) end(finishReason string, u usage) error {
	answer := &ChatAnswer{Role: "assistant", Content: s.text.String()}
	body := s.body("chat.completion", ChatChoice{Message: answer, FinishReason: &finishReason})
	body.Usage = u.body()
	s.call.responseStarted = true
	s.call.server.writeJSON(s.call.writer, http.StatusOK, body)
	return nil
}

func (s *bufferedSink) fail(*failure.Error) {}

func (s *bufferedSink) broken() bool { return false }

// streamSink writes server-sent events. The response starts with the first token, so that an earlier failure still
// sets the HTTP status.
type streamSink struct {
	completion
	includeUsage bool
	failed       bool
}

func (s *streamSink) token(text string) error {
	if err := s.start(); err != nil {
		return err
	}
	return s.chunk(&AnswerDelta{Content: text}, nil)
}

func (s *streamSink) start() error {
	if s.call.responseStarted {
		return nil
	}
	s.call.responseStarted = true
	header := s.call.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	s.call.writer.WriteHeader(http.StatusOK)
	return s.chunk(&AnswerDelta{Role: "assistant"}, nil)
}

func (s *streamSink) chunk(delta *AnswerDelta, finish *string) error {
	return s.send(s.body("chat.completion.chunk", ChatChoice{Delta: delta, FinishReason: finish}))
}

func (s *streamSink) end(finishReason string, u usage) error {
	if err := s.start(); err != nil {
		return err
	}
	if err := s.chunk(&AnswerDelta{}, &finishReason); err != nil {
		return err
	}
	if s.includeUsage {
		body := s.body("chat.completion.chunk")
		body.Usage = u.body()
		if err := s.send(body); err != nil {
			return err
		}
	}
	return s.write([]byte("[DONE]"))
}

// fail sends an error event in place of the end of the answer.
func (s *streamSink) fail(e *failure.Error) {
	if s.call.responseStarted && !s.failed {
		_ = s.send(errorBody(e, s.call.id, s.call.clientID))
	}
}

func (s *streamSink) broken() bool { return s.failed }

func (s *streamSink) send(body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return failure.Wrap(err, failure.Internal, failure.Ran, "encode a chunk")
	}
	return s.write(encoded)
}

// write sends one event within the write timeout. It flushes each event, so nothing is buffered for a slow caller.
func (s *streamSink) write(data []byte) error {
	var event bytes.Buffer
	event.WriteString("data: ")
	event.Write(data)
	event.WriteString("\n\n")
	controller := http.NewResponseController(s.call.writer)
	_ = controller.SetWriteDeadline(time.Now().Add(s.call.server.options.WriteTimeout))
	_, err := s.call.writer.Write(event.Bytes())
	if err == nil {
		err = controller.Flush()
	}
	if err != nil {
		s.failed = true
		return failure.Wrap(err, failure.Canceled, failure.Ran, "the caller does not accept more of the answer")
	}
	return nil
}

package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/prompt"
)

// ChatRequest is the body of POST /v1/chat/completions. Fields that would change the answer and that the engines do not
// support are rejected as unknown; sampling parameters are accepted, but the engine's defaults are used.
type ChatRequest struct {
	Model               string         `json:"model"`
	Messages            []ChatMessage  `json:"messages"`
	Stream              bool           `json:"stream,omitempty"`
	StreamOptions       *StreamOptions `json:"stream_options,omitempty"`
	MaxTokens           *int64         `json:"max_tokens,omitempty" doc:"Limit of generated tokens; older name of max_completion_tokens"`
	MaxCompletionTokens *int64         `json:"max_completion_tokens,omitempty" doc:"Limit of generated tokens"`
	N                   *int64         `json:"n,omitempty" doc:"Only 1 is served"`
	Temperature         *float64       `json:"temperature,omitempty" doc:"Accepted; the engine's default is used"`
	TopP                *float64       `json:"top_p,omitempty" doc:"Accepted; the engine's default is used"`
	PresencePenalty     *float64       `json:"presence_penalty,omitempty" doc:"Accepted; the engine's default is used"`
	FrequencyPenalty    *float64       `json:"frequency_penalty,omitempty" doc:"Accepted; the engine's default is used"`
	Seed                *int64         `json:"seed,omitempty" doc:"Accepted; the engine's default is used"`
	User                string         `json:"user,omitempty" doc:"Accepted and not used"`
	Metadata            map[string]any `json:"metadata,omitempty" doc:"Accepted and not used"`
}

// StreamOptions of a chat request.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// ChatMessage is one message of the conversation.
type ChatMessage struct {
	Role    string      `json:"role" enum:"system,developer,user,assistant"`
	Content ChatContent `json:"content"`
}

// ChatContent is a text, given as a string or as a list of text parts.
type ChatContent string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON accepts a string or a list of text parts.
func (c *ChatContent) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		var text string
		if err := json.Unmarshal(data, &text); err != nil {
			return err
		}
		*c = ChatContent(text)
		return nil
	}
	var parts []contentPart
	if err := strictJSON(data, &parts); err != nil {
		return err
	}
	var b strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return failure.New(failure.InvalidRequest, failure.NotRun, "content parts of type %q are not served", part.Type)
		}
		b.WriteString(part.Text)
	}
	*c = ChatContent(b.String())
	return nil
}

// strictJSON decodes one JSON value and rejects unknown fields and trailing data.
func strictJSON(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return failure.New(failure.InvalidRequest, failure.NotRun, "data follows the JSON value")
	}
	return nil
}

// parseChat decodes and checks a chat request.
func parseChat(body []byte, options Options) (*ChatRequest, error) {
	request := &ChatRequest{}
	if err := strictJSON(body, request); err != nil {
		return nil, invalid("the body is not a chat request: %s", err.Error())
	}
	if err := request.check(options); err != nil {
		return nil, err
	}
	return request, nil
}

func invalid(format string, args ...any) *failure.Error {
	return failure.New(failure.InvalidRequest, failure.NotRun, format, args...)
}

func (r *ChatRequest) check(options Options) error {
	switch {
	case r.Model == "":
		return invalid("model is missing")
	case len(r.Messages) == 0:
		return invalid("messages are missing")
	case r.N != nil && *r.N != 1:
		return invalid("n must be 1")
	case r.StreamOptions != nil && !r.Stream:
		return invalid("stream_options needs stream")
	case r.MaxTokens != nil && r.MaxCompletionTokens != nil && *r.MaxTokens != *r.MaxCompletionTokens:
		return invalid("max_tokens and max_completion_tokens differ")
	}
	if limit := r.tokenLimit(options); limit < 1 || limit > options.MaxTokens {
		return invalid("max_completion_tokens must be from 1 to %d", options.MaxTokens)
	}
	for i, message := range r.Messages {
		switch message.Role {
		case "system", "developer", "user", "assistant":
		default:
			return invalid("messages[%d].role %q is not served", i, message.Role)
		}
	}
	return nil
}

// tokenLimit returns the largest number of tokens to generate.
func (r *ChatRequest) tokenLimit(options Options) int64 {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	default:
		return options.DefaultMaxTokens
	}
}

// render returns the canonical prompt text.
func (r *ChatRequest) render() string {
	messages := make([]prompt.Message, len(r.Messages))
	for i, m := range r.Messages {
		messages[i] = prompt.Message{Role: m.Role, Content: string(m.Content)}
	}
	return prompt.Render(messages)
}

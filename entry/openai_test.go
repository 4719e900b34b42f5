package entry_test

import (
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/entry"
	standin "github.com/wasabishunt/wasabishunt/internal/standin/engine"
	"github.com/wasabishunt/wasabishunt/prompt"
)

func officialClient(c *cluster) openai.Client {
	return openai.NewClient(option.WithBaseURL(c.http.URL+"/v1"), option.WithAPIKey(apiKey), option.WithMaxRetries(0))
}

func question() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:               "model",
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("Be brief."), openai.UserMessage("When is the next free slot?")},
		MaxCompletionTokens: openai.Int(20),
	}
}

// wantAnswer returns the engine stand-in's answer to question, and the number of prompt tokens.
func wantAnswer() (text string, promptTokens int) {
	rendered := prompt.Render([]prompt.Message{{Role: "system", Content: "Be brief."}, {Role: "user", Content: "When is the next free slot?"}})
	return strings.Join(standin.Answer(rendered, "model", "v1", 20), ""), len(prompt.Tokens(rendered))
}

// TestOfficialClientCompleteAnswer guards against answers that the official client cannot parse, and wrong token
// counts.
func TestOfficialClientCompleteAnswer(t *testing.T) {
	c := newCluster(t, entry.Options{})
	c.engineAgent("u1", standin.Settings{})
	client := officialClient(c)
	answer, err := client.Chat.Completions.New(t.Context(), question())
	require.NoError(t, err)
	want, promptTokens := wantAnswer()
	require.Len(t, answer.Choices, 1)
	assert.Equal(t, want, answer.Choices[0].Message.Content)
	assert.Equal(t, int64(promptTokens), answer.Usage.PromptTokens)
	assert.Equal(t, answer.Usage.PromptTokens+answer.Usage.CompletionTokens, answer.Usage.TotalTokens)
	models, err := client.Models.List(t.Context())
	require.NoError(t, err)
	require.Len(t, models.Data, 1, "only models that the account may use")
	assert.Equal(t, "model", models.Data[0].ID)
}

// TestOfficialClientStream guards against chunks that the official client cannot assemble.
func TestOfficialClientStream(t *testing.T) {
	c := newCluster(t, entry.Options{})
	c.engineAgent("u1", standin.Settings{})
	client := officialClient(c)
	params := question()
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	collected := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		require.True(t, collected.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	want, _ := wantAnswer()
	require.Len(t, collected.Choices, 1)
	assert.Equal(t, want, collected.Choices[0].Message.Content)
	assert.NotEmpty(t, collected.Choices[0].FinishReason)
	assert.Positive(t, collected.Usage.CompletionTokens)
}

// TestOfficialClientError guards against failures that the official client cannot parse.
func TestOfficialClientError(t *testing.T) {
	c := newCluster(t, entry.Options{})
	client := openai.NewClient(option.WithBaseURL(c.http.URL+"/v1"), option.WithAPIKey("wrong"), option.WithMaxRetries(0))
	_, err := client.Chat.Completions.New(t.Context(), question())
	var failed *openai.Error
	require.ErrorAs(t, err, &failed)
	assert.Equal(t, 401, failed.StatusCode)
	assert.Equal(t, "unauthorized", failed.Code)
}

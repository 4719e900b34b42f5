package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/entry"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

// TestSoundPromptsBesideADeadlyOne guards against prompts that are refused, or sent more than once, because prompts with the same document and another part break
// off at one upstream after the other.
func TestSoundPromptsBesideADeadlyOne(t *testing.T) {
	const deadly, document = "deadly annex", 2100
	c := newCluster(t, entry.Options{})
	script := func(req *agentpb.GenerateRequest, send send) error {
		if !strings.Contains(req.GetPrompt(), deadly) {
			return completeAnswer(req, send)
		}
		send(accepted(req))
		return nil
	}
	var agents []*fakeAgent
	for i := range 6 {
		agents = append(agents, c.startFakeAgent(fmt.Sprint("u", i), script))
	}
	body := func(question string) string {
		return `{"model":"model","messages":[{"role":"user","content":"` + strings.Repeat("word ", document) + question + `"}]}`
	}
	sends := func(question string) (n int) {
		for _, a := range agents {
			for _, r := range a.received() {
				if strings.Contains(r.GetPrompt(), question) {
					n++
				}
			}
		}
		return n
	}
	for i := range 20 {
		question := fmt.Sprintf("question %d.", i)
		response, answer := c.do(http.MethodPost, chatPath, body(question+" "+deadly))
		require.Equal(t, http.StatusBadGateway, response.StatusCode, string(answer))
		sound := fmt.Sprintf("sound question %d.", i)
		response, answer = c.do(http.MethodPost, chatPath, body(sound))
		require.Equal(t, http.StatusOK, response.StatusCode, string(answer))
		assert.Equal(t, 1, sends(sound))
	}
}

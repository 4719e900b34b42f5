package entry

import (
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/prompt"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

// chat answers POST /v1/chat/completions.
func (s *Server) chat(c *call) error {
	body, err := c.readBody()
	if err != nil {
		return err
	}
	request, err := parseChat(body, s.options)
	if err != nil {
		return err
	}
	c.record.Model = request.Model
	model, err := c.catalog.model(c.account, request.Model)
	if err != nil {
		return err
	}
	if err := c.chooseRank(model.DefaultRank); err != nil {
		return err
	}
	text := request.render()
	g := &generation{
		call:      c,
		model:     request.Model,
		prompt:    text,
		tokens:    prompt.Tokens(text),
		maxTokens: request.limit(s.options),
		sink:      newSink(c, request),
	}
	return g.run()
}

// scope holds all that a prompt's pieces depend on. The account is part of it, so that no account's
// cache can be read or probed by another.
func (g *generation) scope() piece.Scope {
	return piece.Scope{Account: g.call.account.Name, Model: g.model, WeightVersion: g.version}
}

// useVersion names the prompt's pieces under a weight version.
func (g *generation) useVersion(version string) {
	if g.version == version {
		return
	}
	g.version = version
	g.pieces = piece.Names(g.call.server.deps.PieceKey, g.scope(), g.tokens)
	g.affinity = piece.Affinity(g.call.server.deps.PieceKey, g.scope(), g.tokens)
}

func (g *generation) message(route Route) *agentpb.GenerateRequest {
	names := make([][]byte, len(g.pieces))
	for i := range g.pieces {
		names[i] = g.pieces[i][:]
	}
	header := g.call.header()
	header.RequestId = g.runID()
	header.UpstreamEpoch = route.Epoch
	return &agentpb.GenerateRequest{
		Header:        header,
		Model:         g.model,
		WeightVersion: g.version,
		Prompt:        g.prompt,
		PromptTokens:  int64(len(g.tokens)),
		MaxTokens:     g.maxTokens,
		Emitted:       g.emitted,
		PieceNames:    names,
	}
}

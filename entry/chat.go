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
		maxTokens: request.tokenLimit(s.options),
		sink:      newSink(c, request),
	}
	return g.run()
}

// pieceScope returns everything, apart from the tokens, that piece names are derived from. It includes the account, so
// that one account cannot read or probe another account's cache.
func (g *generation) pieceScope() piece.Scope {
	return piece.Scope{Account: g.call.account.Name, Model: g.model, WeightVersion: g.weightVersion}
}

// setWeightVersion sets the weight version and derives the prompt's piece names for it.
func (g *generation) setWeightVersion(version string) {
	if g.weightVersion == version {
		return
	}
	g.weightVersion = version
	g.pieces = piece.Names(g.call.server.deps.PieceKey, g.pieceScope(), g.tokens)
	g.affinity = piece.Affinity(g.call.server.deps.PieceKey, g.pieceScope(), g.tokens)
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
		WeightVersion: g.weightVersion,
		Prompt:        g.prompt,
		PromptTokens:  int64(len(g.tokens)),
		MaxTokens:     g.maxTokens,
		Emitted:       g.emitted,
		PieceNames:    names,
	}
}

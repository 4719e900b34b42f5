// Package prompt turns chat messages into one canonical token sequence.
package prompt

import (
	"strings"
	"unicode"
)

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Render joins messages into the canonical text that engines and piece names use. The role markers ensure that two
// different message lists render differently.
func Render(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString("<|")
		b.WriteString(m.Role)
		b.WriteString("|> ")
		b.WriteString(strings.ReplaceAll(m.Content, "<|", "< |"))
		b.WriteString(" <|end|> ")
	}
	return b.String()
}

// Tokens splits text into words with their trailing white space; joined, they yield the text again. It approximates
// an engine's tokenizer: piece boundaries only need to be the same in every process.
func Tokens(text string) []string {
	var tokens []string
	start, inSpace := 0, false
	for i, r := range text {
		space := unicode.IsSpace(r)
		if inSpace && !space {
			tokens = append(tokens, text[start:i])
			start = i
		}
		inSpace = space
	}
	if start < len(text) {
		tokens = append(tokens, text[start:])
	}
	return tokens
}

package engine

import (
	"encoding/json"
	"net/http"
	"time"

	wire "github.com/wasabishunt/wasabishunt/upstream/engine"
)

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var request wire.CompletionRequest
	if !readJSON(w, r, &request) {
		return
	}
	run, refusal := s.start(request)
	if refusal != nil {
		writeError(w, refusal)
		return
	}
	out := &streamWriter{w: w, controller: http.NewResponseController(w), run: run}
	w.Header().Set("Content-Type", "text/event-stream")
	outcome := s.stream(r, run, out)
	s.endRun(run, outcome)
	if outcome == OutcomeBroken {
		out.endWithoutFinal()
	}
}

// stream writes the tokens as the model produces them and returns the outcome of the run.
func (s *Server) stream(r *http.Request, run *run, out *streamWriter) string {
	if out.flush() != nil {
		return OutcomeCanceled
	}
	keepAlive := time.NewTicker(s.settings.KeepAlive)
	defer keepAlive.Stop()
	next := int64(len(run.request.Emitted))
	for {
		outcome, written := s.writeReady(r, run, out, next)
		if outcome != "" {
			return outcome
		}
		next = written
		select {
		case <-run.wake:
		case <-keepAlive.C:
			if s.faults.get().Freeze {
				continue
			}
			if out.comment() != nil {
				return OutcomeCanceled
			}
		case <-r.Context().Done():
			return OutcomeCanceled
		case <-s.ctx.Done():
			return OutcomeBroken
		}
	}
}

// writeReady writes the tokens from next up to those produced. An empty outcome means that the run continues.
func (s *Server) writeReady(r *http.Request, run *run, out *streamWriter, next int64) (string, int64) {
	if s.faults.wait(r.Context()) != nil {
		return OutcomeCanceled, next
	}
	produced, record := s.progress(run)
	source := run.request.Prompt
	if record.Corrupt {
		source = corruptPrefix + source
	}
	answer := newAnswer(source, run.request.Model, record.WeightVersion)
	for ; next < produced; next++ {
		if run.breakAt >= 0 && next-record.ResumedFrom >= run.breakAt {
			return OutcomeBroken, next
		}
		if out.token(next, answer.token(next), record.WeightVersion) != nil {
			return OutcomeCanceled, next
		}
		s.countToken(run)
	}
	if run.breakAt >= 0 && next-record.ResumedFrom >= run.breakAt {
		return OutcomeBroken, next
	}
	if next < run.request.MaxTokens {
		return s.flushOutcome(out), next
	}
	// The log is written first, so that a checker that has read the complete answer finds the outcome.
	s.endRun(run, OutcomeFinished)
	if out.final(next, record) != nil {
		return OutcomeCanceled, next
	}
	return OutcomeFinished, next
}

func (s *Server) flushOutcome(out *streamWriter) string {
	if out.flush() != nil {
		return OutcomeCanceled
	}
	return ""
}

func (s *Server) progress(run *run) (int64, RunRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return run.produced, *run.record
}

func (s *Server) countToken(run *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.record.Emitted++
}

// streamWriter writes SSE events; each flush has a write deadline.
type streamWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	run        *run
}

func (o *streamWriter) token(index int64, text, version string) error {
	return o.event(wire.CompletionChunk{
		Object: "text_completion", TokenIndex: index, WeightVersion: version,
		Choices: []wire.CompletionChoice{{Text: text}},
	})
}

func (o *streamWriter) final(count int64, record RunRecord) error {
	err := o.event(wire.CompletionChunk{
		Object: "text_completion", TokenIndex: count, WeightVersion: record.WeightVersion,
		Choices: []wire.CompletionChoice{{FinishReason: "length"}},
		Usage:   &wire.CompletionUsage{CompletionTokens: count, CachedTokens: record.CachedTokens},
	})
	if err != nil {
		return err
	}
	if _, err := o.w.Write([]byte("data: " + wire.DoneMark + "\n\n")); err != nil {
		return err
	}
	return o.flush()
}

func (o *streamWriter) event(chunk wire.CompletionChunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	line := append(append([]byte("data: "), data...), "\n\n"...)
	_, err = o.w.Write(line)
	return err
}

func (o *streamWriter) comment() error {
	if _, err := o.w.Write([]byte(": keep-alive\n\n")); err != nil {
		return err
	}
	return o.flush()
}

func (o *streamWriter) flush() error {
	// Not every ResponseWriter supports deadlines; the ones of net/http do.
	_ = o.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	return o.controller.Flush()
}

// endWithoutFinal ends the HTTP response regularly but without a final event, which is harder to detect for a reader than a
// closed connection.
func (o *streamWriter) endWithoutFinal() { _ = o.flush() }

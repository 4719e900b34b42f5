package engine

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/wasabishunt/wasabishunt/failure"
)

// ExportKV implements Client. The reader returns an error other than io.EOF if the body is truncated.
func (h *HTTP) ExportKV(ctx context.Context, ref PieceRef) (io.ReadCloser, error) {
	ctx, cancel := context.WithTimeout(ctx, h.options.TransferTimeout)
	response, err := h.send(ctx, http.MethodGet, kvPath(ref), nil, 0)
	if err != nil {
		cancel()
		return nil, err
	}
	// Truncation of a body of unknown length could not be detected.
	if response.ContentLength < 0 || response.ContentLength > h.options.MaxPieceBytes {
		_ = response.Body.Close()
		cancel()
		return nil, failure.New(failure.UpstreamFailed, failure.Ran, "engine exports a piece of %d bytes, which is out of range", response.ContentLength)
	}
	return &kvReader{ReadCloser: response.Body, cancel: cancel}, nil
}

// ImportKV implements Client.
func (h *HTTP) ImportKV(ctx context.Context, ref PieceRef, body io.Reader, length int64) error {
	if length < 0 || length > h.options.MaxPieceBytes {
		return failure.New(failure.InvalidRequest, failure.NotRun, "piece of %d bytes is out of range", length)
	}
	ctx, cancel := context.WithTimeout(ctx, h.options.TransferTimeout)
	defer cancel()
	response, err := h.send(ctx, http.MethodPut, kvPath(ref), io.LimitReader(body, length), length)
	if err != nil {
		return err
	}
	return endBody(response.Body)
}

func kvPath(ref PieceRef) string {
	query := url.Values{
		QueryModel:         {ref.Model},
		QueryWeightVersion: {ref.WeightVersion},
		QueryCacheScope:    {ref.CacheScope},
		QueryTokens:        {strconv.FormatInt(ref.Tokens, 10)},
	}
	return PathKV + url.PathEscape(ref.Name) + "?" + query.Encode()
}

// kvReader cancels the context of the call when it is closed.
type kvReader struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (r *kvReader) Close() error {
	err := r.ReadCloser.Close()
	r.cancel()
	return err
}

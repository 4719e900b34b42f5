package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
)

func (c *call) readBody() error {
	limit := c.set.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.request.ContentLength > limit {
		return failure.New(failure.BodyTooLarge, failure.NotRun, "request body of %d bytes exceeds the limit of %d bytes", c.request.ContentLength, limit)
	}
	if c.request.ContentLength == 0 {
		return nil
	}
	readBy := c.started.Add(bodyTimeout)
	if c.answerBy.Before(readBy) {
		readBy = c.answerBy
	}
	control := http.NewResponseController(c.writer)
	if err := control.SetReadDeadline(readBy); err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "set the read deadline for the request body")
	}
	var err error
	if size := c.request.ContentLength; size > 0 {
		c.body = make([]byte, size)
		_, err = io.ReadFull(c.request.Body, c.body)
	} else {
		c.body, err = io.ReadAll(io.LimitReader(c.request.Body, limit+1))
	}
	if err != nil {
		return failure.Wrap(err, failure.Canceled, failure.NotRun, "request body not received")
	}
	if int64(len(c.body)) > limit {
		return failure.New(failure.BodyTooLarge, failure.NotRun, "request body exceeds the limit of %d bytes", limit)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "clear the read deadline for the request body")
	}
	return nil
}

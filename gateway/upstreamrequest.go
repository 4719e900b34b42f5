package gateway

import (
	"bytes"
	"net/http"
	"net/url"
)

func (c *call) upstreamRequest(address string, out Outbound) *http.Request {
	request := &http.Request{
		Method: c.request.Method, URL: &url.URL{Scheme: "http", Host: address, Opaque: c.request.RequestURI}, Host: c.request.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: c.gateway.options.Dialect.Request(c.request.Header, out),
		ContentLength: int64(len(c.body)),
	}
	if len(c.body) > 0 {
		request.Body = bodyReader{bytes.NewReader(c.body)}
	}
	return request
}

type bodyReader struct{ *bytes.Reader }

// Close implements io.Closer.
func (bodyReader) Close() error { return nil }

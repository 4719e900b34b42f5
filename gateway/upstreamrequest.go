package gateway

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"
)

func (c *call) upstreamRequest(address string, out Outbound) *http.Request {
	request := &http.Request{
		Method: c.request.Method, URL: c.upstreamURL(address), Host: c.request.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: c.gateway.options.Dialect.Request(c.request.Header, out),
		ContentLength: int64(len(c.body)),
	}
	if len(c.body) > 0 {
		request.Body = bodyReader{bytes.NewReader(c.body)}
	}
	return request
}

// upstreamURL returns the URL of the request at an upstream, with the target as the caller sent it. net/http writes an opaque
// target that begins with two slashes as the absolute form of another host; such a one is set by its path, in which characters
// that no URL may have are escaped.
func (c *call) upstreamURL(address string) *url.URL {
	target := &url.URL{Scheme: "http", Host: address}
	if !strings.HasPrefix(c.request.RequestURI, "//") {
		target.Opaque = c.request.RequestURI
		return target
	}
	in := c.request.URL
	target.Path, target.RawPath, target.RawQuery, target.ForceQuery = in.Path, in.RawPath, in.RawQuery, in.ForceQuery
	return target
}

type bodyReader struct{ *bytes.Reader }

// Close implements io.Closer.
func (bodyReader) Close() error { return nil }

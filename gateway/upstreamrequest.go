package gateway

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/placement"
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

// outbound returns the header values for the request to the chosen instance.
func (c *call) outbound(chosen *choice) Outbound {
	o := c.gateway.options
	instance := chosen.instance
	out := Outbound{TimeLeft: time.Until(c.answerBy), Instance: instance.ID, LastEventID: c.attributes.LastEventID, Urgency: c.urgency().Rank()}
	if c.lastEvent != "" {
		out.LastEventID = c.lastEvent
	}
	if c.account != nil {
		out.Account = c.account.Name
	}
	g := c.attributes.Generation
	if g == nil || c.service.Engine == nil {
		return out
	}
	out.Version = chosen.version
	out.Salt = chosen.query.Salt(out.Version)
	if o.Stores == nil || out.Version == 0 {
		return out
	}
	if lo.SomeBy(chosen.sources, func(s placement.StoredPart) bool { return s.Address != "" }) {
		out.Fetch = make([]string, len(g.Parts))
		for i, source := range chosen.sources {
			out.Fetch[i] = source.Address
			c.fetched += source.Tokens
		}
		out.FetchUntil = o.Stores.FetchDeadline(time.Duration(fetchLimitShare * float64(c.route.FirstByteTarget)))
	}
	if out.Version == chosen.query.StoredVersion {
		var transfers map[string]time.Duration
		out.Save, transfers = o.Stores.Save(out.Salt, g.Parts, instance.AvailabilityZone, o.Tracker)
		for address, transfer := range transfers {
			o.Tracker.RecordTransfer(address, transfer)
		}
	}
	return out
}

// fetchLimitShare is the part of the first-byte target after which an engine aborts a fetch: it can then still compute the
// prompt in time.
const fetchLimitShare = 0.5

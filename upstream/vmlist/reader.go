// Package vmlist reads the platform's list of live and leaving VMs over HTTP. The list may be outdated, so nothing may depend
// on it alone.
package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/upstream"
)

// States of a VM in the list.
const (
	Live    = "live"
	Leaving = "leaving"
)

const (
	// maxBytes limits the body of the list; 20,000 entries need about 2 MB.
	maxBytes = 8 << 20
	// defaultTimeout limits one read.
	defaultTimeout = 2 * time.Second
	// idleTimeout is far above the time between two reads.
	idleTimeout = 30 * time.Second
)

// VM is one entry of the list.
type VM struct {
	VM string `json:"vm"`
	// Address is the VM's IP address, with a port where several processes share an address.
	Address string `json:"address"`
	State   string `json:"state"`
	// Version of the entry; a higher one is newer.
	Version uint64 `json:"version"`
}

// Reader reads the list from one URL.
type Reader struct {
	url    string
	client *http.Client
}

// NewReader returns a Reader. A timeout of 0 means 2 s.
func NewReader(url string, timeout time.Duration) *Reader {
	if timeout == 0 {
		timeout = defaultTimeout
	}
	transport := &http.Transport{MaxResponseHeaderBytes: upstream.MaxHeadBytes, IdleConnTimeout: idleTimeout}
	return &Reader{url: url, client: &http.Client{Timeout: timeout, Transport: transport}}
}

// Read returns the list. An entry without a name or with an unknown state makes the list invalid, because using only a part
// of it could make a leaving VM live again.
func (r *Reader) Read(ctx context.Context) ([]VM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url, nil)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "build request for VM list URL %q", r.url)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, failure.Wrap(err, failure.UpstreamFailed, failure.Unknown, "read VM list")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, failure.New(failure.UpstreamFailed, failure.Unknown, "VM list returned status %d", response.StatusCode)
	}
	return decode(io.LimitReader(response.Body, maxBytes))
}

// list is the response body.
type list struct {
	VMs []VM `json:"vms"`
}

func decode(body io.Reader) ([]VM, error) {
	var answer list
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return nil, failure.Wrap(err, failure.UpstreamFailed, failure.Unknown, "decode VM list")
	}
	for _, vm := range answer.VMs {
		if vm.VM == "" || vm.State != Live && vm.State != Leaving {
			return nil, failure.New(failure.UpstreamFailed, failure.Unknown, "VM list entry %q has state %q", vm.VM, vm.State)
		}
	}
	return answer.VMs, nil
}

// Close closes idle connections.
func (r *Reader) Close() { r.client.CloseIdleConnections() }

package entry

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
	"github.com/wasabishunt/wasabishunt/rpcpool"

	"storj.io/drpc/drpcconn"
)

// forwardedHeaders are the caller's headers that are passed to the service. Keys and credentials are not.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

// serviceCall is one call of a plain service.
type serviceCall struct {
	call    *call
	service *objectset.Service
	target  string
	body    []byte
	booking *agentpb.BookingRef
	// ran is true once an agent may have sent the call to the service.
	ran bool
}

// service handles /services/{service}/{path}.
func (s *Server) service(c *call) error {
	service, err := c.catalog.service(c.account, c.request.PathValue("service"))
	if err != nil {
		return err
	}
	c.record.Service = service.Name
	if err := c.chooseRank(service.Rank); err != nil {
		return err
	}
	target, err := servicePath(c.request)
	if err != nil {
		return err
	}
	once := service.AtMostOnce(c.request.Method, target)
	if once && c.request.Header.Get(headerIdempotencyKey) == "" {
		return failure.New(failure.KeyRequired, failure.NotRun, "this call needs an %s header", headerIdempotencyKey)
	}
	body, err := c.readBody()
	if err != nil {
		return err
	}
	sc := &serviceCall{call: c, service: service, target: target, body: body}
	if once {
		return sc.runBooking()
	}
	response, err := sc.run(c.ctx)
	if err != nil {
		return err
	}
	c.writeServiceResponse(response.GetStatus(), response.GetHeaders(), response.GetBody())
	return nil
}

// servicePath returns the path and query for the service. Paths that are not in canonical form are rejected: the path
// decides whether a call may be repeated, and the service might resolve another spelling to a different path.
func servicePath(r *http.Request) (string, error) {
	prefix := "/services/" + r.PathValue("service")
	decoded := strings.TrimPrefix(r.URL.Path, prefix)
	if decoded == "" || path.Clean(decoded) != strings.TrimSuffix(decoded, "/") && decoded != "/" || strings.ContainsAny(decoded, "\\%;") {
		return "", invalid("path %q is not in canonical form", decoded)
	}
	target := strings.TrimPrefix(r.URL.EscapedPath(), prefix)
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return target, nil
}

// writeServiceResponse sends a service's response to the caller.
func (c *call) writeServiceResponse(status int32, headers map[string]string, body []byte) {
	c.responseStarted = true
	for name, value := range headers {
		c.writer.Header().Set(name, value)
	}
	c.server.writeBody(c.writer, int(status), "", body)
}

// run calls the service's agents in turn. It calls the next one only if the previous one has certainly not run the call.
func (sc *serviceCall) run(ctx context.Context) (*agentpb.ServiceResponse, error) {
	s := sc.call.server
	last := noUpstream(sc.service.Name)
	agents := sc.agents()
	if zones := sc.evacuatedZones(); len(agents) == 0 && len(zones) > 0 {
		last.Message += "; evacuated zones: " + strings.Join(zones, ", ")
	}
	for i, address := range agents {
		if i > 0 && (i >= s.options.MaxAttempts || !s.budget.takeRetry(sc.call.account.Name)) {
			break
		}
		sc.call.recordDecisions("agent " + address)
		response, err := sc.callAgent(ctx, address)
		if err == nil {
			return response, nil
		}
		last = failure.Of(err)
		if last.Execution != failure.NotRun {
			sc.ran = true
			return nil, last
		}
		sc.call.recordDecisions(fmt.Sprintf("agent %s refused: %s", address, last.Kind))
		if !retryableKinds[last.Kind] {
			return nil, last
		}
	}
	return nil, last
}

// agents returns the addresses of live agents outside of evacuated zones in random order.
func (sc *serviceCall) agents() []string {
	live := map[string]bool{}
	for _, process := range sc.call.view.Processes {
		if process.State == controlclient.Live && !sc.call.view.Evacuations.Contains(process.Zone) {
			live[process.Address] = true
		}
	}
	var addresses []string
	for _, address := range sc.service.AgentAddresses {
		if live[address] {
			addresses = append(addresses, address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// evacuatedZones returns the evacuated zones in which the service has live agents, in order.
func (sc *serviceCall) evacuatedZones() []string {
	zones := map[string]bool{}
	for _, process := range sc.call.view.Processes {
		if process.State == controlclient.Live && slices.Contains(sc.service.AgentAddresses, process.Address) && sc.call.view.Evacuations.Contains(process.Zone) {
			zones[process.Zone] = true
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

// callAgent makes one call on a new connection: an error on a pooled connection leaves open whether bytes were sent.
func (sc *serviceCall) callAgent(ctx context.Context, address string) (*agentpb.ServiceResponse, error) {
	conn, err := rpcpool.DialFrom(ctx, sc.call.server.options.SourceIP, address, sc.call.server.options.ConnectTimeout)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancelCause(ctx)
	var watching sync.WaitGroup
	watching.Go(func() { sc.call.server.cancelWhenDead(ctx, address, cancel) })
	response, err := sc.send(ctx, conn)
	cancel(nil)
	watching.Wait()
	return response, err
}

// cancelWhenDead cancels a call once control has declared the process at the address dead. After a network partition
// the connection stays open, so the call would otherwise wait until its deadline although its claim could be released.
func (s *Server) cancelWhenDead(ctx context.Context, address string, cancel context.CancelCauseFunc) {
	for {
		changed := s.deps.Source.Changed()
		if allProcessesDead(s.deps.Source.Current(), address) {
			cancel(failure.New(failure.UpstreamFailed, failure.Unknown, "the agent at %s was declared dead", address))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// allProcessesDead reports whether an address has at least one process and all of its processes are dead.
func allProcessesDead(view controlclient.View, address string) bool {
	dead := false
	for _, process := range view.Processes {
		if process.Address != address {
			continue
		}
		if process.State != controlclient.Dead {
			return false
		}
		dead = true
	}
	return dead
}

func (sc *serviceCall) send(ctx context.Context, conn *drpcconn.Conn) (*agentpb.ServiceResponse, error) {
	response, err := agentpb.NewDRPCAgentClient(conn).CallService(ctx, sc.message())
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, failure.Wrap(err, failure.OutcomeUnknown, failure.Unknown, "the connection to the service's agent broke during the call")
	}
	sc.call.server.observeLoad(response.GetLoad())
	if refusal := response.GetRefusal(); refusal != nil {
		return nil, refusalError(refusal)
	}
	return response, nil
}

func (sc *serviceCall) message() *agentpb.ServiceRequest {
	headers := map[string]string{"Wasabishunt-Request-Id": sc.call.id, "Wasabishunt-Account": sc.call.account.Name}
	for _, name := range forwardedHeaders {
		if value := sc.call.request.Header.Get(name); value != "" {
			headers[name] = value
		}
	}
	return &agentpb.ServiceRequest{
		Header:  sc.call.header(),
		Service: sc.service.Name,
		Method:  sc.call.request.Method,
		Path:    sc.target,
		Headers: headers,
		Body:    sc.body,
		Booking: sc.booking,
	}
}

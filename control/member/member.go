package member

import (
	"context"
	"net"
	"net/http"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/wasabishunt/wasabishunt/control"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/metrics"
	"github.com/wasabishunt/wasabishunt/replica"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/supervise"
)

// Options of a Member. Replica.StateMachine is set by Open.
type Options struct {
	Replica replica.Options
	Control control.Options
	// Listener accepts drpc connections from processes and from other members.
	Listener net.Listener
	// Status accepts HTTP connections for /healthz, /readyz and /metrics.
	Status net.Listener
	// DrainNotice is how long a stopping member keeps serving after readiness has ended; default 500 ms.
	DrainNotice time.Duration
	Log         *zap.Logger
	Metrics     gometrics.Registry
}

// Member is one control member.
type Member struct {
	options Options
	machine *control.StateMachine
	replica *replica.Replica
	server  *control.Server
	// stopping is closed when readiness ends.
	stopping chan struct{}
}

// defaultDrainNotice is several times the round trip to a watcher.
const defaultDrainNotice = 500 * time.Millisecond

// Open restores the state and starts the replica.
func Open(options Options) (*Member, error) {
	if options.DrainNotice == 0 {
		options.DrainNotice = defaultDrainNotice
	}
	m := &Member{options: options, machine: control.NewStateMachine(), stopping: make(chan struct{})}
	options.Replica.StateMachine = commandDecoder{m.machine}
	limitLog(&options.Replica)
	raftReplica, err := replica.Start(options.Replica)
	if err != nil {
		return nil, err
	}
	m.replica = raftReplica
	m.server = control.NewServer(m.machine, replicator{raftReplica}, options.Control)
	return m, nil
}

// Run serves until the context ends or the replica fails. On shutdown the replica finishes its commands and transfers
// leadership while the member still serves.
func (m *Member) Run(ctx context.Context) error {
	mux := drpcmux.New()
	if err := m.register(mux); err != nil {
		m.replica.Stop()
		return err
	}
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	var group errgroup.Group
	handler := supervise.Handler{Handler: mux, Log: m.options.Log}
	group.Go(func() error { return control.Serve(serving, handler, m.options.Listener) })
	group.Go(func() error { return m.server.Run(serving) })
	group.Go(func() error { return m.serveStatus(serving) })
	select {
	case <-ctx.Done():
	case <-m.replica.Done():
	}
	close(m.stopping)
	m.options.Log.Info("stopping", zap.Error(m.replica.Err()))
	m.replica.Stop()
	m.waitDrainNotice()
	stopServing()
	if err := group.Wait(); err != nil {
		return failure.Wrap(err, failure.Internal, failure.Unknown, "serve")
	}
	return m.replica.Err()
}

// waitDrainNotice gives clients time to learn the new leader from this member before it closes their connections.
func (m *Member) waitDrainNotice() {
	timer := time.NewTimer(m.options.DrainNotice)
	defer timer.Stop()
	<-timer.C
}

func (m *Member) register(mux *drpcmux.Mux) error {
	if err := controlpb.DRPCRegisterControl(mux, m.server); err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "register the control service")
	}
	if err := m.replica.Register(mux); err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "register the raft service")
	}
	return nil
}

const (
	// headerTimeout limits reading the header of a status request.
	headerTimeout = 2 * time.Second
	// statusTimeout limits reading and answering one status request.
	statusTimeout = 5 * time.Second
)

func (m *Member) serveStatus(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", m.healthz)
	mux.HandleFunc("GET /readyz", m.readyz)
	mux.Handle("GET /metrics", m.metrics(metrics.Handler(m.options.Metrics)))
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: statusTimeout, WriteTimeout: statusTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(m.options.Status); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (m *Member) healthz(w http.ResponseWriter, _ *http.Request) {
	if err := m.replica.Err(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// readyz succeeds while this member is not stopping and its state is known to be current.
func (m *Member) readyz(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-m.stopping:
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	default:
	}
	if !m.replica.Fresh() {
		http.Error(w, "the state is not known to be current", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// metrics updates the gauges of the state before each scrape.
func (m *Member) metrics(next http.Handler) http.Handler {
	gauge := func(name string, value int64) {
		gometrics.GetOrRegisterGauge(name, m.options.Metrics).Update(value)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		version, revision := m.machine.Positions()
		watchers, pending := m.server.Load()
		gauge("control.watchers", int64(watchers))
		gauge("control.pending", int64(pending))
		gauge("control.set_version", int64(version))
		gauge("control.membership_revision", int64(revision))
		gauge("control.bookings", int64(m.machine.Bookings()))
		gauge("control.booking_bytes", int64(m.machine.BookingBytes()))
		next.ServeHTTP(w, r)
	})
}

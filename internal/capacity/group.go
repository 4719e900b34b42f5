package capacity

import (
	"context"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/wasabishunt/wasabishunt/control"
	"github.com/wasabishunt/wasabishunt/control/member"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/replica"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

const (
	operatorName  = "operator"
	operatorToken = "capacity"
	// drainNotice is short because the stop of a member is not measured.
	drainNotice = 50 * time.Millisecond
	// publishTimeout limits one publish of the largest set.
	publishTimeout = 20 * time.Second
)

// group is a control group of real members on loopback addresses.
type group struct {
	addresses []string
	client    *controlclient.Client
	// traffic counts the bytes of all connections that members accept, from processes and from other members.
	traffic traffic
	dir     string
	stop    context.CancelFunc
	running errgroup.Group
	version uint64
}

// startGroup starts control members that sync to disk.
func startGroup(dir string, size int) (*group, error) {
	dir, err := os.MkdirTemp(dir, "wasabishunt-capacity-")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	g := &group{stop: stop, dir: dir}
	var listeners []net.Listener
	var bootstrap []*raftpb.Member
	for id := 1; id <= size; id++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stop()
			return nil, err
		}
		listeners = append(listeners, listener)
		g.addresses = append(g.addresses, listener.Addr().String())
		bootstrap = append(bootstrap, &raftpb.Member{Id: uint64(id), Address: listener.Addr().String()})
	}
	for i, listener := range listeners {
		if err := g.startMember(ctx, bootstrap, i, listener); err != nil {
			stop()
			return nil, err
		}
	}
	g.client = controlclient.NewClient(controlclient.ClientOptions{
		Addresses: g.addresses, AttemptTimeout: publishTimeout, Timeout: publishTimeout, MaxAttempts: 1000,
	})
	return g, nil
}

func (g *group) startMember(ctx context.Context, bootstrap []*raftpb.Member, i int, listener net.Listener) error {
	operators, problems := control.ReadOperators(strings.NewReader(operatorName + " " + sha256Hex(operatorToken) + "\n"))
	if len(problems) > 0 {
		return measurementError("operators: %v", problems)
	}
	status, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	id := bootstrap[i].Id
	registry := gometrics.NewRegistry()
	m, err := member.Open(member.Options{
		Replica: replica.Options{
			ID: id, Group: "capacity", Address: bootstrap[i].Address, Bootstrap: bootstrap,
			Dir: filepath.Join(g.dir, fmt.Sprint(id)),
		},
		Control:  control.Options{MemberID: id, Operators: operators, Metrics: registry},
		Listener: countingListener{listener, &g.traffic}, Status: status, DrainNotice: drainNotice,
		Log: zap.NewNop(), Metrics: registry,
	})
	if err != nil {
		return err
	}
	g.running.Go(func() error { return m.Run(ctx) })
	return nil
}

// close stops the members and removes their data.
func (g *group) close() error {
	_ = g.client.Close()
	g.stop()
	err := g.running.Wait()
	_ = os.RemoveAll(g.dir)
	return err
}

// publish publishes a set as the next version.
func (g *group) publish(ctx context.Context, set *objectset.Set) error {
	_, err := g.client.Publish(ctx, &controlpb.PublishRequest{
		Operator:    &controlpb.Operator{Name: operatorName, Token: operatorToken},
		OperationId: fmt.Sprintf("operation-%d", g.version), ExpectVersion: g.version, Document: set.Canonical(),
	})
	if err == nil {
		g.version++
	}
	return err
}

// diskBytes returns the size of all files of all members.
func (g *group) diskBytes() (total int64) {
	_ = filepath.WalkDir(g.dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			total += info.Size()
		}
		return nil
	})
	return total
}

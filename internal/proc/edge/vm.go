package edge

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/core/awake"
	"umberladder/internal/peer/front"
	"umberladder/internal/peer/share"
	"umberladder/internal/policy/health"
	"umberladder/internal/proc/conf"
	"umberladder/internal/proc/peers"
	"umberladder/internal/proc/sink"
	"umberladder/internal/route/desk"
	"umberladder/internal/route/homes"
	"umberladder/internal/route/pick"
	"umberladder/internal/route/port"
	"umberladder/internal/route/probe"
	"umberladder/internal/route/relay"
	"umberladder/internal/route/task"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/names"
)

const (
	// takeTime is how long after the signal to stop new connections are taken:
	// the balancer asks once a second and needs two misses.
	takeTime = 3500 * time.Millisecond
	// stopReserve is kept of the grace time for the end of the process.
	stopReserve = 400 * time.Millisecond
	// drainPoll is how often the open connections are looked at while stopping.
	drainPoll = 50 * time.Millisecond
	// readyMargin is how much earlier than it must refuse a VM stops asking for
	// clients, so that they need not be refused.
	readyMargin = time.Second
	// defaultHeader and the like hold until the first settings are there.
	defaultHeader     = 16 << 10
	defaultBody       = 4 << 20
	defaultHeaderTime = 3 * time.Second
	defaultIdle       = 15 * time.Second
)

// Codec maps the platform's requests to calls of a relay.
type Codec interface {
	Handle(ctx context.Context, r *front.Request, w *front.Reply)
	Reject(w *front.Reply, f front.Fault, detail string)
}

// Backend speaks to backend servers.
type Backend interface {
	port.Backend
	probe.Engines
}

// Ports are the platform's side of the VM.
type Ports struct {
	Settings follow.SettingsSource
	Servers  follow.ServerSource
	Backend  Backend
	Codec    func(r *relay.Relay) Codec
	Names    names.Registry
	Share    *share.Client            // fetches what other VMs share
	Calls    func() map[string]uint64 // made to the store, by kind
	Lines    *sink.Sink               // the log's
}

// VM is one edge VM.
type VM struct {
	cfg      atomic.Pointer[conf.Edge]
	log      *zap.Logger
	set      *metrics.Set
	lines    *sink.Sink
	node     *peers.Node
	home     *homes.Home
	desk     *desk.Desk
	probe    *probe.Prober
	relay    *relay.Relay
	front    *front.Server
	stopping atomic.Bool
}

// New makes a VM from its settings and the platform's side.
func New(cfg *conf.Edge, ports Ports, group *errgroup.Group, log *zap.Logger) *VM {
	node := peers.New(cfg, peers.Ports{Settings: ports.Settings, Servers: ports.Servers, Names: ports.Names, Share: ports.Share}, group, log)
	v := &VM{log: log, set: metrics.NewSet(), lines: ports.Lines, node: node}
	v.cfg.Store(cfg)
	sound := health.New()
	chooser := pick.NewChooser(node.Servers, node.Seats, sound, node.Rates)
	v.home = homes.NewHome(chooser)
	v.probe = probe.New(node.Servers, ports.Backend, node.Probed, chooser.Failed, group, log)
	v.desk = desk.New(cfg.Name, uint64(time.Now().UnixNano()), chooser, v.home, node.Order, node, v.countPlacement, log)
	v.relay = relay.New(task.Parts{
		Config: task.Config{
			Domain: cfg.Domain,
			Revoke: func() time.Duration { return v.cfg.Load().Revoke },
			Apply:  func() time.Duration { return v.cfg.Load().Apply },
		},
		Settings: node.Settings,
		Refresh:  node,
		Servers:  node.Servers,
		Seats:    node.Seats,
		Budget:   node.Budget,
		Health:   sound,
		Rates:    node.Rates,
		Poison:   node.Poison,
		Places:   v.desk,
		Backend:  ports.Backend,
		Clock:    awake.Now,
		Log:      log.Named(sink.Calls),
		Group:    group,
		Count:    &counter{log: log.Named(sink.Calls), set: v.set},
	})
	codec := ports.Codec(v.relay)
	v.front = front.New(codec.Handle, codec.Reject, v.limits, log)
	v.gauges(ports)
	return v
}

func (v *VM) limits() front.Limits {
	s := v.node.Settings.Load()
	if s == nil {
		return front.Limits{Header: defaultHeader, Body: defaultBody, HeaderTime: defaultHeaderTime, Idle: defaultIdle}
	}
	return front.Limits{Header: s.Limits.Header, Body: s.Limits.Body, HeaderTime: s.Limits.HeaderTime, Idle: s.Limits.Idle}
}

// Ready reports whether the balancer should send clients here. A VM that the
// store does not answer while it answers others serves those that it has, with
// what the others tell it; new ones are better off where the store is in reach.
func (v *VM) Ready() bool {
	if v.stopping.Load() || v.node.Settings.Load() == nil || v.node.Servers.View().Len() == 0 {
		return false
	}
	now := time.Now()
	if !v.node.Hubs.Touch(names.TouchTime, now) && v.node.Hubs.StoreAnswers(now) {
		return false
	}
	cfg := v.cfg.Load()
	return v.node.Settings.Age() < cfg.Revoke-readyMargin && v.node.Settings.Behind() < cfg.Apply-readyMargin
}

// Run serves until stop is done, and then until every request has ended or the
// grace time is over.
func (v *VM) Run(stop context.Context, group *errgroup.Group) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := net.Listen("tcp", v.cfg.Load().Callers.String())
	if err != nil {
		return trace.Wrap(err, "/callers-address")
	}
	if err := v.serveSide(ctx, group); err != nil {
		return trace.Wrap(err)
	}
	if err := v.node.Run(ctx, v.home, v.desk); err != nil {
		return trace.Wrap(err)
	}
	for _, loop := range []func(context.Context){v.home.Run, v.probe.Run} {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	group.Go(func() error {
		v.lines.Tell(v.log, ctx.Done())
		return nil
	})
	failed := make(chan error, 1)
	group.Go(func() error {
		failed <- v.front.Serve(ctx, ln)
		return nil
	})
	v.log.Info("serving", zap.Stringer("callers", v.cfg.Load().Callers))
	select {
	case <-stop.Done():
	case err := <-failed:
		return trace.Wrap(err)
	}
	v.leave(ln)
	return nil
}

// leave ends the VM's service without cutting a request off.
func (v *VM) leave(ln net.Listener) {
	start := time.Now()
	v.log.Info("stopping", zap.Int64("connections", v.front.Open()))
	v.stopping.Store(true)
	v.node.Hubs.Leave()
	v.front.Drain()
	end := start.Add(v.cfg.Load().Grace - stopReserve)
	v.relay.Stop(end)
	for time.Now().Before(end) {
		if time.Since(start) > takeTime {
			_ = ln.Close()
			v.front.CloseIdle(takeTime)
			if v.front.Open() == 0 {
				break
			}
		}
		time.Sleep(drainPoll)
	}
	_ = ln.Close()
	v.log.Info("stopped", zap.Int64("connections-cut", v.front.Open()), zap.Duration("after", time.Since(start)))
}

// serveSide serves readiness checks and metrics.
func (v *VM) serveSide(ctx context.Context, group *errgroup.Group) error {
	for _, s := range []struct {
		path    string
		addr    string
		handler fasthttp.RequestHandler
	}{
		{"/ready-address", v.cfg.Load().Ready.String(), v.ready},
		{"/metrics-address", v.cfg.Load().Metrics.String(), v.writeMetrics},
	} {
		ln, err := net.Listen("tcp", s.addr)
		if err != nil {
			return trace.Wrap(err, "%s", s.path)
		}
		srv := &fasthttp.Server{Handler: s.handler, NoDefaultDate: true, NoDefaultServerHeader: true, Logger: httpLog{v.log}}
		context.AfterFunc(ctx, func() { _ = ln.Close() })
		group.Go(func() error {
			if err := srv.Serve(ln); err != nil && ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				v.log.Error("side server ended", zap.String("address", s.addr), zap.Error(err))
			}
			return nil
		})
	}
	return nil
}

func (v *VM) ready(ctx *fasthttp.RequestCtx) {
	if v.Ready() {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready\n")
}

func (v *VM) writeMetrics(ctx *fasthttp.RequestCtx) {
	v.set.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

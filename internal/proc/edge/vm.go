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

	"umberladder/internal/core/ident"
	"umberladder/internal/core/uptime"
	"umberladder/internal/peer/front"
	"umberladder/internal/peer/share"
	"umberladder/internal/peer/socket"
	"umberladder/internal/peer/tunnel"
	"umberladder/internal/policy/expect"
	"umberladder/internal/policy/health"
	"umberladder/internal/policy/pace"
	"umberladder/internal/policy/shed"
	"umberladder/internal/policy/stop"
	"umberladder/internal/proc/bounds"
	"umberladder/internal/proc/conf"
	"umberladder/internal/proc/logger"
	"umberladder/internal/proc/peers"
	"umberladder/internal/route/coord"
	"umberladder/internal/route/path"
	"umberladder/internal/route/pick"
	"umberladder/internal/route/placer"
	"umberladder/internal/route/port"
	"umberladder/internal/route/probe"
	"umberladder/internal/route/relay"
	"umberladder/internal/route/task"
	"umberladder/internal/route/verify"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/hubreg"
)

const (
	// acceptTime is how long new connections are accepted after the stop signal.
	// The balancer checks readiness once a second and stops sending connections
	// after two failed checks.
	acceptTime = 3500 * time.Millisecond
	// exitReserve is the part of the grace time reserved for the process to exit.
	exitReserve = 400 * time.Millisecond
	// durationWindow is how long the longest call of a route bounds those to come: long enough
	// to see rare calls, and longer than a client waits for most.
	durationWindow = time.Minute
	// drainPollInterval is how often open connections are checked while stopping.
	drainPollInterval = 50 * time.Millisecond
	// receiveBuffer bounds, in bytes, what the kernel holds of each connection that was not read.
	// Requests are read as they arrive; most have one packet.
	receiveBuffer = 16 << 10
	// The listeners for readiness checks and metrics serve few connections, whose requests are
	// small.
	operatorReadTimeout  = 5 * time.Second
	operatorIdleTimeout  = 30 * time.Second
	operatorWriteTimeout = 10 * time.Second
	maxOperatorConns     = 128
	// readyMargin is the time from the moment a VM stops being ready to the moment
	// it must refuse calls, so that the balancer moves clients away first. A VM must
	// refuse calls once its settings are too old, or once a newer version has been
	// known for too long.
	readyMargin = time.Second
	// Limits that apply until the first settings have been loaded.
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// Ingress translates the platform's HTTP requests into calls of a relay and
// responds to requests that cannot be read.
type Ingress interface {
	Handle(ctx context.Context, r *front.Request, w *front.ResponseWriter)
	Refuse(w *front.ResponseWriter, r *front.Request, f front.Fault)
}

// Backend sends requests to backend servers.
type Backend interface {
	port.Backend
	probe.Reporter
}

// Deps are the platform-specific components that a VM is built from.
type Deps struct {
	Settings   follow.SettingsSource
	Servers    follow.ServerSource
	Dialer     path.Dialer // opens connections to servers and to other VMs
	NewBackend func(c *path.Connector) Backend
	NewIngress func(r *relay.Relay) Ingress
	Registry   hubreg.Registry
	Share      *share.Client            // fetches settings and server entries from other VMs
	StoreCalls func() map[string]uint64 // returns the number of calls to the store, by kind
	LogSink    *logger.Writer           // receives the log lines
}

// VM is an edge VM.
type VM struct {
	cfg         atomic.Pointer[conf.Edge]
	log         *zap.Logger
	metricSet   *metrics.Set
	logSink     *logger.Writer
	node        *peers.Node
	chooser     *pick.Chooser
	coordinator *coord.Coordinator
	placer      *placer.Placer
	prober      *probe.Prober
	tunnels     *tunnel.Server
	relay       *relay.Relay
	gate        *shed.Gate
	bounds      *bounds.Bounds
	front       *front.Server
	stopping    atomic.Bool
}

// New returns a VM built from its settings file and the platform's components.
func New(cfg *conf.Edge, deps Deps, group *errgroup.Group, log *zap.Logger) *VM {
	node := peers.New(cfg, peers.Deps{Settings: deps.Settings, Servers: deps.Servers, Registry: deps.Registry, Share: deps.Share}, group, log)
	v := &VM{log: log, metricSet: metrics.NewSet(), logSink: deps.LogSink, node: node}
	v.cfg.Store(cfg)
	v.bounds = bounds.New(cfg.Memory, cfg.Descriptors, log)
	v.gate = shed.New(node.Budget.Excess, v.sheddingChanged)
	conns := v.newConnector(boundedDialer{deps.Dialer, v.bounds.Held}, group)
	backend := deps.NewBackend(conns)
	v.tunnels = tunnel.NewServer(node.Servers, conns, v.bounds.Held, log)
	healthTracker := health.New()
	chooser := pick.NewChooser(node.Servers, node.Alloc, healthTracker, node.Rates)
	chooser.OnPaceChange(v.paceChanged)
	v.chooser, v.coordinator = chooser, coord.New(chooser).WithObserver(shareObserver{log: log, metricSet: v.metricSet})
	v.prober = probe.New(node.Servers, backend, node.ServicesToProbe, node.Alloc.Load, chooser.MarkUnreachable, group, log)
	v.placer = placer.New(cfg.Name, uint64(time.Now().UnixNano()), chooser, v.coordinator, node.CoordinatorOrder, node, v.countPlacement, log)
	v.relay = relay.New(task.Deps{
		Config: task.Config{
			Domain:          cfg.Domain,
			RevokeDelay:     func() time.Duration { return v.cfg.Load().RevokeBound },
			ApplyDelay:      func() time.Duration { return v.cfg.Load().ApplyBound },
			Regions:         cfg.Regions,
			ColdLimit:       func(rate float64) float64 { return v.cfg.Load().ColdLimit.Of(rate) },
			WorkspaceWeight: func(w ident.Workspace) float64 { return v.cfg.Load().WorkspaceWeight(w) },
			Preemption:      func() bool { return v.cfg.Load().EnginePriorities },
		},
		Settings:  node.Settings,
		Refresher: node,
		Servers:   node.Servers,
		Alloc:     node.Alloc,
		Budget:    node.Budget,
		Health:    healthTracker,
		Rates:     node.Rates,
		Reject:    node.Reject,
		Timings:   node.Timings,
		Durations: expect.New[string](durationWindow),
		Speeds:    chooser.Speeds,
		Stop:      &stop.Shutdown{},
		Held:      v.bounds.Held,
		Poison:    node.Poison,
		Placer:    v.placer,
		Origins:   node.Origins,
		Backend:   verify.New(backend),
		Clock:     uptime.Now,
		Log:       log.Named(logger.CallsLogger),
		Group:     group,
		Recorder:  &recorder{log: log.Named(logger.CallsLogger), metricSet: v.metricSet},
	})
	ingress := deps.NewIngress(v.relay)
	v.front = front.New(ingress.Handle, ingress.Refuse, v.limits, v.gate, v.bounds.Held, log)
	v.registerGauges(deps)
	return v
}

// newConnector returns the connector to backend servers.
func (v *VM) newConnector(d path.Dialer, group *errgroup.Group) *path.Connector {
	return path.New(v.node.Reach, path.Deps{
		Dialer:           d,
		Tunnels:          tunnel.NewClient(d),
		Peers:            v.node.Hubs.Carriers,
		IsolationChanged: v.node.ReportNow,
		Count:            v.countConnection,
		Meter:            v.gate,
		Group:            group,
		Log:              v.log,
	})
}

// sheddingChanged logs that this VM starts or stops closing new client connections unread.
func (v *VM) sheddingChanged(shedding bool) {
	msg := "client connections admitted again"
	if shedding {
		msg = "client connections shed"
	}
	v.log.Warn(msg, zap.Float64("requests-over-mean", v.node.Budget.Excess(time.Now())), zap.Uint64("shed", v.gate.ShedCount()), zap.Int64("connections", v.front.OpenConns()))
}

// paceChanged logs that an engine becomes slow or is no longer slow.
func (v *VM) paceChanged(c pace.Change) {
	msg := "engine is slow no more"
	if c.Slow {
		msg = "engine is slow"
	}
	v.log.Info(msg, zap.String("service", string(c.Service)), zap.String("server", string(c.Server)), zap.Duration("per-token", c.PerToken), zap.Duration("median", c.Median))
}

func (v *VM) limits() front.Limits {
	s := v.node.Settings.Load()
	if s == nil {
		return front.Limits{MaxHeaderBytes: defaultMaxHeaderBytes, MaxBodyBytes: defaultMaxBodyBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	}
	return front.Limits{MaxHeaderBytes: s.Limits.MaxHeaderBytes, MaxBodyBytes: s.Limits.MaxBodyBytes, HeaderTimeout: s.Limits.HeaderTimeout, IdleTimeout: s.Limits.IdleTimeout}
}

// Ready reports whether the balancer should send clients here. A VM that cannot
// reach the store while other VMs can is not ready, nor is one that has no room for
// connections. It still serves its existing
// connections with the updates it receives from its peers, but new connections
// are better served by VMs that reach the store.
func (v *VM) Ready() bool {
	if v.stopping.Load() || v.node.Settings.Load() == nil || v.node.Servers.View().Len() == 0 || !v.node.Servers.EvacuationsKnown() {
		return false
	}
	now := time.Now()
	if v.bounds.Held.Refusing(now) {
		return false
	}
	if !v.node.Hubs.StoreRespondedWithin(hubreg.ReachableTime, now) && v.node.Hubs.PeersReachStore(now) {
		return false
	}
	cfg := v.cfg.Load()
	return v.node.Settings.Age() < cfg.RevokeBound-readyMargin && v.node.Settings.BehindFor() < cfg.ApplyBound-readyMargin
}

// Run serves until stop is done, and then until every request has ended or the
// grace time has passed.
func (v *VM) Run(stop context.Context, group *errgroup.Group) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := socket.Listen(ctx, v.cfg.Load().Clients, receiveBuffer)
	if err != nil {
		return trace.Wrap(err, "/callers-address")
	}
	if err := v.serveReadyAndMetrics(ctx, group); err != nil {
		return trace.Wrap(err)
	}
	if err := v.node.Run(ctx, v.coordinator, v.placer, v.tunnels); err != nil {
		return trace.Wrap(err)
	}
	for _, loop := range []func(context.Context){v.coordinator.Run, v.prober.Run, v.bounds.Run} {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	group.Go(func() error {
		v.logSink.ReportDropped(v.log, ctx.Done())
		return nil
	})
	failed := make(chan error, 1)
	group.Go(func() error {
		failed <- v.front.Serve(ctx, socket.New(ln, v.bounds.Held.ReclaimDescriptor, v.log))
		return nil
	})
	v.log.Info("serving", zap.Stringer("callers", v.cfg.Load().Clients))
	select {
	case <-stop.Done():
	case err := <-failed:
		return trace.Wrap(err)
	}
	v.shutDown(ln)
	return nil
}

// shutDown drains the VM: it stops being ready, accepts new connections for
// acceptTime, and waits until all connections and tunnels have closed or the grace time
// less exitReserve has passed.
func (v *VM) shutDown(ln net.Listener) {
	start := time.Now()
	v.log.Info("stopping", zap.Int64("connections", v.front.OpenConns()))
	v.stopping.Store(true)
	v.node.Hubs.StepDown()
	v.front.Drain()
	v.tunnels.Drain()
	end := start.Add(v.cfg.Load().StopGrace - exitReserve)
	v.relay.Drain(end)
	for time.Now().Before(end) {
		if time.Since(start) > acceptTime {
			_ = ln.Close()
			v.front.CloseIdle(acceptTime)
			if v.front.OpenConns() == 0 && v.tunnels.Open() == 0 {
				break
			}
		}
		time.Sleep(drainPollInterval)
	}
	_ = ln.Close()
	v.log.Info("stopped", zap.Int64("connections-cut", v.front.OpenConns()), zap.Duration("after", time.Since(start)))
}

// serveReadyAndMetrics starts the HTTP servers for readiness checks and metrics.
func (v *VM) serveReadyAndMetrics(ctx context.Context, group *errgroup.Group) error {
	for _, s := range []struct {
		path    string
		addr    string
		handler fasthttp.RequestHandler
	}{
		{"/ready-address", v.cfg.Load().Ready.String(), v.handleReady},
		{"/metrics-address", v.cfg.Load().Metrics.String(), v.handleMetrics},
	} {
		ln, err := net.Listen("tcp", s.addr)
		if err != nil {
			return trace.Wrap(err, "%s", s.path)
		}
		ln = socket.New(ln, v.bounds.Held.ReclaimDescriptor, v.log)
		srv := &fasthttp.Server{
			Handler: s.handler, NoDefaultDate: true, NoDefaultServerHeader: true, Logger: httpLog{v.log}, ReduceMemoryUsage: true, GetOnly: true,
			ReadTimeout: operatorReadTimeout, IdleTimeout: operatorIdleTimeout, WriteTimeout: operatorWriteTimeout, Concurrency: maxOperatorConns,
		}
		context.AfterFunc(ctx, func() { _ = ln.Close() })
		group.Go(func() error {
			if err := srv.Serve(ln); err != nil && ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				v.log.Error("readiness or metrics server failed", zap.String("address", s.addr), zap.Error(err))
			}
			return nil
		})
	}
	return nil
}

func (v *VM) handleReady(ctx *fasthttp.RequestCtx) {
	if v.Ready() {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready\n")
}

// handleMetrics serves the status of this VM at statusPath, and the metrics at all other paths.
func (v *VM) handleMetrics(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == statusPath {
		v.writeStatus(ctx)
		return
	}
	v.writeMetrics(ctx)
}

func (v *VM) writeMetrics(ctx *fasthttp.RequestCtx) {
	v.registerSlowGauges()
	v.metricSet.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

package netcut

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// Mode says how a path is cut.
type Mode uint8

// The modes.
const (
	Hang     Mode = iota // packets are lost in both directions
	OneWay               // packets to the listener are lost
	Reset                // open connections are reset, packets of new ones are lost
	NewHang              // open connections live on, packets of new ones are lost
	NewReset             // open connections live on, new ones are reset once they are established
	NumModes
)

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"hang", "one-way", "reset", "new-hang", "new-reset"}[m]
}

// cut is a set of hosts whose paths are cut.
type cut struct {
	mode  Mode
	hosts []netip.Addr
}

func (c *cut) includes(host netip.Addr) bool { return c != nil && slices.Contains(c.hosts, host) }

// Listener is a TCP listener whose paths can be cut. It is safe for concurrent use.
type Listener struct {
	net.Listener

	mu     sync.Mutex
	cut    *cut          // nil: no path is cut
	healed chan struct{} // closed when the cut ends; nil: no path is cut
	conns  map[*conn]struct{}
}

// Listen listens on a TCP address. Sockets of Multipath TCP, the default of package net, take
// no filters.
func Listen(addr string) (*Listener, error) {
	var lc net.ListenConfig
	lc.SetMultipathTCP(false)
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Listener{Listener: ln, conns: make(map[*conn]struct{})}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := nc.(*net.TCPConn)
		remote, parseErr := netip.ParseAddrPort(nc.RemoteAddr().String())
		if !ok || parseErr != nil {
			_ = nc.Close()
			return nil, errors.Join(trace.BadParameter("not a TCP connection: %s", nc.RemoteAddr()), parseErr)
		}
		if c := l.add(tcp, remote.Addr()); c != nil {
			return c, nil
		}
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
}

// add records a new connection. It returns nil if the connection is to be reset.
func (l *Listener) add(tcp *net.TCPConn, host netip.Addr) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut.includes(host) && l.cut.mode == NewReset {
		return nil
	}
	c := &conn{TCPConn: tcp, listener: l, host: host}
	l.conns[c] = struct{}{}
	return c
}

// Cut cuts the paths of hosts until Heal is called. It replaces an earlier cut.
func (l *Listener) Cut(mode Mode, hosts []netip.Addr) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endCut()
	l.cut, l.healed = &cut{mode: mode, hosts: hosts}, make(chan struct{})
	if mode != NewReset {
		if err := setFilter(l.Listener, hosts); err != nil {
			return err
		}
	}
	var errs []error
	for c := range l.conns {
		switch {
		case !l.cut.includes(c.host):
		case mode == Reset:
			errs = append(errs, c.SetLinger(0), c.TCPConn.Close())
		case mode == Hang || mode == OneWay:
			errs = append(errs, setFilter(c.TCPConn, hosts))
		}
	}
	return errors.Join(errs...)
}

// Heal ends the cut. Data that were held up arrive.
func (l *Listener) Heal() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endCut()
	errs := []error{setFilter(l.Listener, nil)}
	for c := range l.conns {
		errs = append(errs, setFilter(c.TCPConn, nil))
	}
	return errors.Join(errs...)
}

// endCut lets writes that were held up continue. The caller holds the lock.
func (l *Listener) endCut() {
	if l.healed != nil {
		close(l.healed)
	}
	l.cut, l.healed = nil, nil
}

// hold returns the channel to wait for before data are sent to a host; nil: none.
func (l *Listener) hold(host netip.Addr) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut.includes(host) && l.cut.mode == Hang {
		return l.healed
	}
	return nil
}

// conn is a connection that Listener has accepted.
type conn struct {
	*net.TCPConn
	listener *Listener
	host     netip.Addr
}

// Write implements net.Conn. It blocks while nothing reaches the host.
func (c *conn) Write(p []byte) (int, error) {
	if healed := c.listener.hold(c.host); healed != nil {
		<-healed
	}
	return c.TCPConn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// Offset of the source address in an IPv4 header, for a load relative to that header (see
// SKF_NET_OFF in linux/filter.h).
const (
	networkHeader = 0xfff00000
	sourceAddr    = networkHeader + 12
)

// filter returns a program that drops the packets of hosts and passes all others.
func filter(hosts []netip.Addr) []unix.SockFilter {
	p := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: sourceAddr}}
	for n, h := range hosts {
		a := h.As4()
		host := uint32(a[0])<<24 | uint32(a[1])<<16 | uint32(a[2])<<8 | uint32(a[3])
		p = append(p, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: uint8(len(hosts) - n), K: host}) //nolint:gosec // few hosts
	}
	return append(p, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 30}, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K})
}

// setFilter makes the kernel drop the packets of hosts that arrive at a socket; without
// hosts it ends that.
func setFilter(socket any, hosts []netip.Addr) error {
	sc, ok := socket.(syscall.Conn)
	if !ok {
		return trace.BadParameter("no socket: %T", socket)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return trace.Wrap(err)
	}
	var opErr error
	err = raw.Control(func(fd uintptr) {
		if len(hosts) == 0 {
			opErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			if errors.Is(opErr, unix.ENOENT) {
				opErr = nil
			}
			return
		}
		p := filter(hosts)
		opErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(p)), Filter: &p[0]}) //nolint:gosec // few hosts
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return trace.NewAggregate(err, opErr)
}

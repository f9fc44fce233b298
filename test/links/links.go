// Package links relays TCP connections between processes of a test and injects network
// faults: it holds back or delays bytes in one direction, drops bytes without closing the
// connection, and resets connections.
package links

import (
	"net"
	"sync"
	"time"
)

// cutPollInterval is the interval at which held-back bytes check whether their direction is
// still cut.
const cutPollInterval = 5 * time.Millisecond

// direction is one direction of the link between two processes.
type direction struct{ from, to string }

// Links holds the relays and faults of one test. It is safe for concurrent use.
type Links struct {
	mu        sync.Mutex
	nameByIP  map[string]string
	cuts      map[direction]bool
	delays    map[direction]time.Duration
	conns     map[*relayedConn]struct{}
	listeners []net.Listener
	closed    chan struct{}
}

// relayedConn is a relayed connection that process from opened to process to. After silent
// is closed, it drops all bytes.
type relayedConn struct {
	from, to         string
	accepted, dialed net.Conn
	silent           chan struct{}
	silenceOnce      sync.Once
}

// New returns links without relays or faults.
func New() *Links {
	return &Links{
		nameByIP: map[string]string{}, cuts: map[direction]bool{}, delays: map[direction]time.Duration{},
		conns: map[*relayedConn]struct{}{}, closed: make(chan struct{}),
	}
}

// SetName sets the name of the process whose connections come from an IP.
func (l *Links) SetName(ip, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nameByIP[ip] = name
}

// OpenRelay listens at the address at and relays connections to target, both IP:port. from
// and to name the processes at the ends. An empty from means the process that SetName gave
// for the source IP of each connection.
func (l *Links) OpenRelay(at, target, from, to string) error {
	lis, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, lis)
	l.mu.Unlock()
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go l.relay(c, target, from, to)
		}
	}()
	return nil
}

func (l *Links) relay(client net.Conn, target, from, to string) {
	defer client.Close()
	if from == "" {
		host, _, _ := net.SplitHostPort(client.RemoteAddr().String())
		l.mu.Lock()
		from = l.nameByIP[host]
		l.mu.Unlock()
	}
	if !l.waitWhileCut(direction{from, to}) {
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	rc := &relayedConn{from: from, to: to, accepted: client, dialed: server, silent: make(chan struct{})}
	l.mu.Lock()
	l.conns[rc] = struct{}{}
	l.mu.Unlock()
	shouldClose := make(chan bool, 2)
	go func() { shouldClose <- l.copy(rc, server, client, direction{from, to}) }()
	go func() { shouldClose <- l.copy(rc, client, server, direction{to, from}) }()
	if !<-shouldClose {
		<-shouldClose
	}
	l.mu.Lock()
	delete(l.conns, rc)
	l.mu.Unlock()
}

// copy relays bytes in one direction until the connection ends. It reports whether the
// relay should close both ends now. After Silence it must not, since the other end would
// notice the close.
func (l *Links) copy(rc *relayedConn, dst, src net.Conn, d direction) bool {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if !l.waitWhileCut(d) {
			return true
		}
		if err != nil {
			return !rc.isSilent()
		}
		if rc.isSilent() {
			continue
		}
		time.Sleep(l.delay(d))
		if _, err := dst.Write(buf[:n]); err != nil {
			return !rc.isSilent()
		}
	}
}

func (rc *relayedConn) isSilent() bool {
	select {
	case <-rc.silent:
		return true
	default:
		return false
	}
}

func (l *Links) delay(d direction) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delays[d]
}

// waitWhileCut blocks while the direction is cut. It reports false if the links were closed
// meanwhile.
func (l *Links) waitWhileCut(d direction) bool {
	for {
		l.mu.Lock()
		cut := l.cuts[d]
		l.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-l.closed:
			return false
		case <-time.After(cutPollInterval):
		}
	}
}

// SetCut cuts or restores the direction between two processes. While it is cut, bytes are
// held back, not lost, and new connections in this direction are not relayed.
func (l *Links) SetCut(from, to string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[direction{from, to}] = cut
}

// SetDelay sets the delay of each relayed chunk of bytes in one direction; 0 means none.
func (l *Links) SetDelay(from, to string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays[direction{from, to}] = d
}

// Reset closes the open connections of a process with a TCP reset.
func (l *Links) Reset(name string) {
	for _, rc := range l.connsOf(name) {
		for _, c := range []net.Conn{rc.accepted, rc.dialed} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// Silence drops all further bytes on the open connections of a process without closing
// them. New connections work.
func (l *Links) Silence(name string) {
	for _, rc := range l.connsOf(name) {
		rc.silenceOnce.Do(func() { close(rc.silent) })
	}
}

// connsOf returns the open connections from or to a process.
func (l *Links) connsOf(name string) []*relayedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*relayedConn
	for rc := range l.conns {
		if rc.from == name || rc.to == name {
			out = append(out, rc)
		}
	}
	return out
}

// Close closes all listeners and releases the bytes that wait on cut directions; their
// connections are closed.
func (l *Links) Close() {
	close(l.closed)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, lis := range l.listeners {
		_ = lis.Close()
	}
}

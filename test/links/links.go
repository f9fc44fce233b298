// Package links relays connections between processes of a test and harms them: bytes are
// held back one way, delayed, or lost for good, and connections are reset.
package links

import (
	"net"
	"sync"
	"time"
)

// cutPollInterval is how often held bytes look whether their way was healed.
const cutPollInterval = 5 * time.Millisecond

// direction is one direction of a link between two processes.
type direction struct{ from, to string }

// Links are the links of one test. They are safe for concurrent use.
type Links struct {
	mu        sync.Mutex
	nameByIP     map[string]string
	cuts      map[direction]bool
	delays    map[direction]time.Duration
	conns     map[*relayedConn]struct{}
	listeners []net.Listener
	closed    chan struct{}
}

// relayedConn is one relayed connection.
type relayedConn struct {
	from, to  string
	accepted, dialed net.Conn
	silent    chan struct{}
	silenceOnce     sync.Once
}

// New returns links without a relay.
func New() *Links {
	return &Links{
		nameByIP: map[string]string{}, cuts: map[direction]bool{}, delays: map[direction]time.Duration{},
		conns: map[*relayedConn]struct{}{}, closed: make(chan struct{}),
	}
}

// SetName tells whose connections come from an IP.
func (l *Links) SetName(ip, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nameByIP[ip] = name
}

// OpenRelay relays at to target; an empty from is found by the connection's source.
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

func (l *Links) relay(c net.Conn, target, from, to string) {
	defer c.Close()
	if from == "" {
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		l.mu.Lock()
		from = l.nameByIP[host]
		l.mu.Unlock()
	}
	if !l.waitWhileCut(direction{from, to}) {
		return
	}
	s, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer s.Close()
	p := &relayedConn{from: from, to: to, accepted: c, dialed: s, silent: make(chan struct{})}
	l.mu.Lock()
	l.conns[p] = struct{}{}
	l.mu.Unlock()
	closes := make(chan bool, 2)
	go func() { closes <- l.copy(p, s, c, direction{from, to}) }()
	go func() { closes <- l.copy(p, c, s, direction{to, from}) }()
	if !<-closes {
		<-closes
	}
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

// copy relays one way until it ends, and reports whether the other end hears of that.
func (l *Links) copy(p *relayedConn, dst, src net.Conn, w direction) bool {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if !l.waitWhileCut(w) {
			return true
		}
		if err != nil {
			return !p.isSilent()
		}
		if p.isSilent() {
			continue
		}
		time.Sleep(l.delay(w))
		if _, err := dst.Write(buf[:n]); err != nil {
			return !p.isSilent()
		}
	}
}

func (p *relayedConn) isSilent() bool {
	select {
	case <-p.silent:
		return true
	default:
		return false
	}
}

func (l *Links) delay(w direction) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delays[w]
}

// waitWhileCut waits while the way is cut; it reports false once the links are closed.
func (l *Links) waitWhileCut(w direction) bool {
	for {
		l.mu.Lock()
		cut := l.cuts[w]
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

// SetCut holds back or releases what goes one way, also the opening of connections.
func (l *Links) SetCut(from, to string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[direction{from, to}] = cut
}

// SetDelay adds a time to what goes one way.
func (l *Links) SetDelay(from, to string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays[direction{from, to}] = d
}

// Reset resets the open connections of a process.
func (l *Links) Reset(name string) {
	for _, p := range l.connsOf(name) {
		for _, c := range []net.Conn{p.accepted, p.dialed} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// Silence makes the open connections of a process carry nothing any more, without a
// close; new ones work.
func (l *Links) Silence(name string) {
	for _, p := range l.connsOf(name) {
		p.silenceOnce.Do(func() { close(p.silent) })
	}
}

func (l *Links) connsOf(name string) []*relayedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*relayedConn
	for p := range l.conns {
		if p.from == name || p.to == name {
			out = append(out, p)
		}
	}
	return out
}

// Close ends all relays.
func (l *Links) Close() {
	close(l.closed)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, lis := range l.listeners {
		_ = lis.Close()
	}
}

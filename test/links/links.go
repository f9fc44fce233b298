// Package links relays connections between processes of a test and harms them: bytes are
// held back one way, delayed, or lost for good, and connections are reset.
package links

import (
	"net"
	"sync"
	"time"
)

// poll is how often held bytes look whether their way was healed.
const poll = 5 * time.Millisecond

// way is one direction of a link between two processes.
type way struct{ from, to string }

// Links are the links of one test. They are safe for concurrent use.
type Links struct {
	mu        sync.Mutex
	names     map[string]string
	cuts      map[way]bool
	delays    map[way]time.Duration
	pairs     map[*pair]struct{}
	listeners []net.Listener
	closed    chan struct{}
}

// pair is one relayed connection.
type pair struct {
	from, to  string
	near, far net.Conn
	silent    chan struct{}
	quiet     sync.Once
}

// New returns links without a relay.
func New() *Links {
	return &Links{
		names: map[string]string{}, cuts: map[way]bool{}, delays: map[way]time.Duration{},
		pairs: map[*pair]struct{}{}, closed: make(chan struct{}),
	}
}

// Name tells whose connections come from an IP.
func (l *Links) Name(ip, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names[ip] = name
}

// Open relays at to target; an empty from is found by the connection's source.
func (l *Links) Open(at, target, from, to string) error {
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
		from = l.names[host]
		l.mu.Unlock()
	}
	if !l.hold(way{from, to}) {
		return
	}
	s, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer s.Close()
	p := &pair{from: from, to: to, near: c, far: s, silent: make(chan struct{})}
	l.mu.Lock()
	l.pairs[p] = struct{}{}
	l.mu.Unlock()
	closes := make(chan bool, 2)
	go func() { closes <- l.copy(p, s, c, way{from, to}) }()
	go func() { closes <- l.copy(p, c, s, way{to, from}) }()
	if !<-closes {
		<-closes
	}
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// copy relays one way until it ends, and reports whether the other end hears of that.
func (l *Links) copy(p *pair, dst, src net.Conn, w way) bool {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if !l.hold(w) {
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

func (p *pair) isSilent() bool {
	select {
	case <-p.silent:
		return true
	default:
		return false
	}
}

func (l *Links) delay(w way) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delays[w]
}

// hold waits while the way is cut; it reports false once the links are closed.
func (l *Links) hold(w way) bool {
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
		case <-time.After(poll):
		}
	}
}

// Cut holds back or releases what goes one way, also the opening of connections.
func (l *Links) Cut(from, to string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[way{from, to}] = cut
}

// Delay adds a time to what goes one way.
func (l *Links) Delay(from, to string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays[way{from, to}] = d
}

// Reset resets the open connections of a process.
func (l *Links) Reset(name string) {
	for _, p := range l.of(name) {
		for _, c := range []net.Conn{p.near, p.far} {
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
	for _, p := range l.of(name) {
		p.quiet.Do(func() { close(p.silent) })
	}
}

func (l *Links) of(name string) []*pair {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*pair
	for p := range l.pairs {
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

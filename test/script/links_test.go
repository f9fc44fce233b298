package script

import (
	"net"
	"sync"
	"time"
)

// linkPoll is how often held bytes look whether their link was healed.
const linkPoll = 5 * time.Millisecond

// direction is one way of a link between two processes.
type direction struct{ from, to string }

// links relays connections between processes and holds back the bytes of cut ones.
type links struct {
	mu        sync.Mutex
	names     map[string]string
	cuts      map[direction]bool
	listeners []net.Listener
	closed    chan struct{}
}

func newLinks() *links {
	return &links{names: map[string]string{}, cuts: map[direction]bool{}, closed: make(chan struct{})}
}

// name tells whose connections come from an IP.
func (l *links) name(ip, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names[ip] = name
}

// open relays at to target; an empty from is found by the connection's source.
func (l *links) open(at, target, from, to string) error {
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

func (l *links) relay(c net.Conn, target, from, to string) {
	defer c.Close()
	if from == "" {
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		l.mu.Lock()
		from = l.names[host]
		l.mu.Unlock()
	}
	if !l.hold(direction{from, to}) {
		return
	}
	s, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer s.Close()
	done := make(chan struct{}, 2)
	go l.copy(s, c, direction{from, to}, done)
	go l.copy(c, s, direction{to, from}, done)
	<-done
}

func (l *links) copy(dst, src net.Conn, d direction, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if !l.hold(d) || err != nil {
			return
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// hold waits while the direction is cut; it reports false once the links are closed.
func (l *links) hold(d direction) bool {
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
		case <-time.After(linkPoll):
		}
	}
}

func (l *links) set(from, to string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[direction{from, to}] = cut
}

func (l *links) close() {
	close(l.closed)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, lis := range l.listeners {
		_ = lis.Close()
	}
}

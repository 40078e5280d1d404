package soak

import (
	"io"
	"maps"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the connections through it.
type mode int

// The modes.
const (
	pass mode = iota
	// delay holds each piece of data up.
	delay
	// reset resets all connections, and new ones.
	reset
	// oneWay loses what comes back.
	oneWay
	// silent takes connections and passes nothing on.
	silent
	// flood sends bytes without end in place of what comes back.
	flood
	// repeat sends short answers once more, before the next answer on the same connection.
	repeat
)

func (m mode) String() string {
	return [...]string{"pass", "delay", "reset", "one_way", "silent", "flood", "repeat"}[m]
}

// held is by how much delay holds data up.
const held = 60 * time.Millisecond

// proxy stands before one server on loopback.
type proxy struct {
	address string
	target  string

	mu sync.Mutex
	// listener is nil while the address refuses connections.
	listener net.Listener
	mode     mode
	conns    map[net.Conn]bool
	// stuck are the connections that pass nothing on, not even their end.
	stuck map[net.Conn]bool
	// answer is what flood sends, one of floodAnswers or mixed; random if it is empty.
	answer string
}

func (p *proxy) setFlood(answer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answer = answer
}

func newProxy(l net.Listener, target string) (*proxy, func()) {
	p := &proxy{address: l.Addr().String(), target: target, listener: l, conns: map[net.Conn]bool{}, stuck: map[net.Conn]bool{}}
	go p.accept(l)
	return p, func() { p.close(); p.set(reset) }
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// close makes the address refuse connections, as that of a process that has ended, and
// closes those that are open; it returns false if it does already.
func (p *proxy) close() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return false
	}
	p.listener.Close()
	p.listener = nil
	for c := range p.conns {
		c.Close()
	}
	return true
}

// reopen ends what close began.
func (p *proxy) reopen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		panic(err) // Nobody else takes a port that was just in use here.
	}
	p.listener = l
	go p.accept(l)
}

// set changes the mode; it holds for open connections too.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != reset {
		return
	}
	for c := range p.conns {
		abort(c)
	}
}

// stick makes the connections of now pass nothing on, while new ones do, until the
// returned function resets them.
func (p *proxy) stick() (free func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := maps.Clone(p.conns)
	maps.Copy(p.stuck, now)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for c := range now {
			delete(p.stuck, c)
			abort(c)
		}
	}
}

func (p *proxy) isStuck(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stuck[c]
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// abort closes a connection by a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (p *proxy) serve(c net.Conn) {
	if p.now() == reset {
		abort(c)
		return
	}
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[up] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	answers := &repeater{}
	both.Go(func() { p.copy(up, c, false, answers) })
	both.Go(func() { p.copy(c, up, true, answers) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, up)
	p.mu.Unlock()
}

// copy passes data on until one side ends; back is the way to the caller.
func (p *proxy) copy(to, from net.Conn, back bool, answers *repeater) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		for m := p.now(); m == silent || m == oneWay && back; m = p.now() {
			time.Sleep(held)
		}
		for p.isStuck(from) {
			time.Sleep(held / 6)
		}
		if n > 0 && p.now() == delay {
			time.Sleep(held)
		}
		if n > 0 && back && p.now() == flood {
			p.flood(to, buf[:n])
			return
		}
		if n > 0 && !back {
			answers.request()
		}
		if n > 0 && back {
			if late := answers.answer(buf[:n]); late != nil && p.now() == repeat {
				if _, err := to.Write(late); err != nil {
					return
				}
			}
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				abort(to)
			}
			return
		}
	}
}

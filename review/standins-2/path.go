package main

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// path is the way of machines to one server: a listener that passes connections on. When it is cut its
// connections are reset and new ones are refused; when it is silent they hang, new ones too.
type path struct {
	address, to string

	mu       sync.Mutex
	listener net.Listener
	// conns maps the connections of the machine to those that go on to the server.
	conns map[net.Conn]net.Conn
	// silent has connections come up and carry nothing.
	silent bool
}

// newPath makes one; the address is taken from then on.
func (w *world) newPath(host int, to string) (*path, error) {
	p := &path{to: to, conns: map[net.Conn]net.Conn{}}
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.net, host))
	if err != nil {
		return nil, err
	}
	p.address = l.Addr().String()
	p.serve(l)
	return p, nil
}

func (p *path) serve(l net.Listener) {
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
}

func (p *path) pass(c net.Conn) {
	defer c.Close()
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	if silent {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	s, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer s.Close()
	p.mu.Lock()
	p.conns[c] = s
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { _, _ = io.Copy(s, c); done <- struct{}{} }()
	go func() { _, _ = io.Copy(c, s); done <- struct{}{} }()
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	silent = p.silent
	p.mu.Unlock()
	if silent {
		// Until the machine gives up.
		_, _ = io.Copy(io.Discard, c)
	}
}

// silence has connections carry nothing from now on, those that are open and those that come up.
func (p *path) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
	for _, s := range p.conns {
		_ = s.Close()
	}
}

func (p *path) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		reset(c)
	}
}

// open opens a path that was cut.
func (p *path) open() error {
	p.mu.Lock()
	p.silent = false
	_ = p.listener.Close()
	p.mu.Unlock()
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.serve(l)
	return nil
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

package main

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// path is the way of one machine to one server: a listener that passes connections on. When it is cut its
// connections are reset and new ones are refused.
type path struct {
	address, to string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// newPath makes one; the address is taken from then on.
func (w *world) newPath(host int, to string) (*path, error) {
	p := &path{to: to, conns: map[net.Conn]bool{}}
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
	s, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer s.Close()
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { _, _ = io.Copy(s, c); done <- struct{}{} }()
	go func() { _, _ = io.Copy(c, s); done <- struct{}{} }()
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *path) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// open opens a path that was cut.
func (p *path) open() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.serve(l)
	return nil
}

package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// comesFrom is the key of the gateway that a request came from.
type comesFrom struct{}

// door is a listener of a server that knows which gateway opened a connection.
type door struct {
	net.Listener
	w *world

	mu    sync.Mutex
	conns map[net.Conn]*gateway
}

func (d *door) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g := d.w.opener(c)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = g
	return c, nil
}

// owner is the gateway that opened a connection; nil if it came over a path of this program.
func (d *door) owner(c net.Conn) *gateway {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.conns[c]
}

// opener finds the gateway that opened a connection: on loopback all have the same address, so that the
// socket is looked for among those of the gateways' processes.
func (w *world) opener(c net.Conn) *gateway {
	inode := inodeOf(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return nil
	}
	want := "socket:[" + inode + "]"
	for _, g := range w.gateways {
		if g.cmd == nil || g.cmd.Process == nil {
			continue
		}
		dir := fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid)
		files, _ := os.ReadDir(dir)
		for _, f := range files {
			if to, _ := os.Readlink(filepath.Join(dir, f.Name())); to == want {
				return g
			}
		}
	}
	return nil
}

// inodeOf finds the socket of a connection between two loopback addresses.
func inodeOf(local, remote *net.TCPAddr) string {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	from, to := inTable(local), inTable(remote)
	for line := range bytes.Lines(data) {
		f := strings.Fields(string(line))
		if len(f) > 9 && f[1] == from && f[2] == to {
			return f[9]
		}
	}
	return ""
}

func inTable(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bridgehoist/bridgehoist/platform"
)

// rawServer is a server of a plain service that writes its answers byte by byte, so that it can also
// write what belongs to no request.
type rawServer struct {
	w       *world
	id      string
	service string
	address string
	// slots requests run at once, each for work; room more may wait.
	slots, room int
	work        time.Duration
	// surplus, if set, decides of an answer whether it is sent once more, late: in the place where the
	// next one is due on its channel. instead, if set, decides whether bytes that are no answer of the
	// protocol take its place.
	surplus func(status int) bool
	instead func() bool

	// says is a line of the head of all its answers.
	says string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	held     int
	free     chan struct{}
	// brittle is what it says of that; zero if it isn't brittle. See brittle.go.
	brittle               int
	fragile, down         bool
	rejections            []time.Time
	falls, rejected, lost int
	// runs counts the runs of each request by its id, and done those of each thing that a client wants
	// to have done once, which its path names.
	runs, done map[string]int
}

func (s *rawServer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = "127.0.0.1:0"
	s.runs, s.done, s.conns = map[string]int{}, map[string]int{}, map[net.Conn]bool{}
	s.free = make(chan struct{}, s.slots)
	return s.listen()
}

// listen begins to take channels. The caller holds the lock.
func (s *rawServer) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.listener, s.address = l, l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return nil
}

// serve answers one request after the other on a channel.
func (s *rawServer) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	var late []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if late != nil {
			s.w.note("%s sends its surplus answer in the place of the answer to %s", s.id, r.Header.Get(platform.HeaderRequestID))
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		status, answer := s.answer(r)
		if s.surplus != nil && s.surplus(status) {
			late = bytes.Clone(answer)
		}
		if _, err := c.Write(answer); err != nil || answer == nil {
			return
		}
	}
}

// answer runs a request, or refuses it as a full server does.
func (s *rawServer) answer(r *http.Request) (status int, answer []byte) {
	id := r.Header.Get(platform.HeaderRequestID)
	if !strings.HasPrefix(r.URL.Path, "/desk/") {
		return http.StatusNotFound, []byte("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	}
	if expected := r.Header.Get(platform.HeaderInstance); expected != "" && expected != s.id {
		return s.refuse(id, http.StatusMisdirectedRequest)
	}
	s.mu.Lock()
	if s.held >= s.slots+s.room {
		s.mu.Unlock()
		s.noteRejected()
		return s.refuse(id, http.StatusServiceUnavailable)
	}
	s.held++
	free := s.free
	s.mu.Unlock()
	free <- struct{}{}
	s.mu.Lock()
	if s.free != free || s.down {
		// Its process has ended while the request waited.
		s.mu.Unlock()
		<-free
		return 0, nil
	}
	s.runs[id]++
	s.done[r.URL.Path]++
	s.mu.Unlock()
	s.w.note("%s runs %s", s.id, id)
	time.Sleep(s.work)
	<-free
	s.mu.Lock()
	if s.free == free && !s.down {
		s.held--
	}
	s.mu.Unlock()
	if s.instead != nil && s.instead() {
		s.w.note("%s sends what is no answer to %s", s.id, id)
		return http.StatusNotFound, []byte("HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\nnot found")
	}
	body := "done " + id
	return http.StatusOK, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed-by-%s\r\n%sContent-Length: %d\r\n\r\n%s",
		platform.HeaderRequestID, id, platform.HeaderSignature, s.id, s.says+s.brittleLine(), len(body), body)
}

func (s *rawServer) refuse(id string, status int) (int, []byte) {
	s.w.note("%s refuses %s with %d", s.id, id, status)
	return status, fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), platform.HeaderRequestID, id, platform.HeaderNotRun, s.says+s.brittleLine())
}

// ran reports how often it ran a request.
func (s *rawServer) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

package responsehead_test

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/responsehead"
)

// read feeds a head in pieces of one size, and returns how many bytes it has; zero if it isn't complete.
func read(data []byte, size int) (head responsehead.Head, length int, err error) {
	var p responsehead.Parser
	for piece := range slices.Chunk(data, size) {
		n, err := p.Feed(piece)
		length += n
		if err != nil || p.Done() {
			return p.Head(), length, err
		}
	}
	return responsehead.Head{}, 0, nil
}

func TestValidHeadsAreRead(t *testing.T) {
	for text, want := range map[string]responsehead.Head{
		"HTTP/1.1 200 OK\r\n\r\n":         {Status: 200},
		"HTTP/1.0 200 OK\r\n\r\n":         {Status: 200},
		"HTTP/1.1 200 OK\n\n":             {Status: 200},
		"HTTP/1.1 200\r\n\r\n":            {Status: 200},
		"HTTP/1.1 200 \r\n\r\n":           {Status: 200},
		"HTTP/1.2 599 \xe4\tb c\r\n\r\n":  {Status: 599},
		"HTTP/1.1 100 Continue\r\n\r\n":   {Status: 100, Framed: true},
		"HTTP/1.1 204 No Content\r\n\r\n": {Status: 204, Framed: true},
		"HTTP/1.1 200 OK\r\nA!#$%&'*+-.^_`|~9: \xe4\tb c \r\nEmpty:\r\n\r\n": {Status: 200},
		"HTTP/1.1 200 OK\r\nA: b\r\n continued\r\n\tagain\r\n \r\n\r\n":      {Status: 200},
		"HTTP/1.1 200 OK\r\nA: Content-Length: 3\r\n\r\n":                    {Status: 200},
		"HTTP/1.1 200 OK\r\ncontent-LENGTH: 3\r\n\r\n":                       {Status: 200, Framed: true},
		"HTTP/1.1 200 OK\r\ntransfer-encoding:chunked\r\n\r\n":               {Status: 200, Framed: true},
	} {
		g := NewWithT(t)
		data := []byte(text + "body\n\n")
		for size := range data {
			got, length, err := read(data, size+1)
			g.Expect(err).NotTo(HaveOccurred(), "%q", text)
			g.Expect(got).To(Equal(want), "%q", text)
			g.Expect(length).To(Equal(len(text)), "%q", text)
			_, length, err = read(data[:len(text)-1], size+1)
			g.Expect(err).NotTo(HaveOccurred(), "%q", text)
			g.Expect(length).To(BeZero(), "%q", text)
		}
	}
}

func TestInvalidHeadsAreRejected(t *testing.T) {
	heads := []string{"\r\n", "x\r\n\r\n"}
	for _, version := range []string{"HTTP/0.9", "HTTP/2.7", "HTTP/1", "HTTP/1.", "HTTP/1.11", "HTTP/1.x", "http/1.1", "HTTP/1,1", " HTTP/1.1", "HTTP /1.1"} {
		heads = append(heads, version+" 200 OK\r\n\r\n")
	}
	for _, status := range []string{"", "0", "00", "000", "099", "101", "600", "999", "20", "2000", "20x", "+20", "-20", " 200", "\t200", "0200"} {
		heads = append(heads, "HTTP/1.1 "+status+" OK\r\n\r\n")
	}
	for _, reason := range []string{"O\x00K", "O\rK", "O\x7fK", "O\x0bK", "OK\r"} {
		heads = append(heads, "HTTP/1.1 200 "+reason+"\r\n\r\n")
	}
	for _, line := range []string{"X Part: a", "X-Part : a", "X-Part\t: a", "Content-Length : 3", "Transfer-Encoding : chunked", ": a", " : a", "a", "X\x00: a",
		"X\x7f: a", "X\x01: a", "\xe4: a", "X(: a", "X\r: a", "A: \x00", "A: a\rB: b", "A: \x1f", "A: \x7f", "A: a\r"} {
		heads = append(heads, "HTTP/1.1 200 OK\r\n"+line+"\r\nB: b\r\n\r\n")
		if !strings.HasPrefix(line, " ") {
			heads = append(heads, "HTTP/1.1 200 OK\r\nB: b\r\n"+line+"\r\n\r\n")
		}
	}
	heads = append(heads, "HTTP/1.1 200 OK\r\n A: b\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\x00d\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.0 200 OK\r\ntransfer-encoding:\r\n chunked\r\n\r\n")
	for _, text := range heads {
		for size := range len(text) {
			_, _, err := read([]byte(text), size+1)
			NewWithT(t).Expect(err).To(HaveOccurred(), "%q", text)
		}
	}
}

// FuzzParse checks that net/http and Parser agree on where a valid head ends, its status and its framing.
func FuzzParse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 204 No Content\nTransfer-Encoding: chunked\n\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		head, length, err := read(data, 1+len(data)/2)
		if err != nil || length == 0 {
			return
		}
		r := bufio.NewReaderSize(bytes.NewReader(data), len(data)+16)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			// net/http interprets values that Parser doesn't.
			return
		}
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		if rest := r.Buffered(); rest != len(data)-length || resp.StatusCode != head.Status || framed != head.Framed {
			t.Fatalf("%q: %+v, %d bytes left of %d, framed %v, status %d", data, head, rest, len(data)-length, framed, resp.StatusCode)
		}
	})
}

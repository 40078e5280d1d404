package engineclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/attempt"
	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/retry"
)

func FuzzParseChunk(f *testing.F) {
	f.Add([]byte(`{"id":"g","index":1,"choices":[{"text":"t","finish_reason":null}]}`))
	f.Add([]byte(`{"index":-1,"choices":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := ParseChunk(data)
		if err == nil && (len(c.Choices) != 1 || c.Index < 0) {
			t.Fatalf("accepted %+v", c)
		}
	})
}

func endpoint(s *httptest.Server) fleet.Endpoint {
	return fleet.Endpoint{ID: "e", Address: strings.TrimPrefix(s.URL, "http://")}
}

// TestNoSilentRepeat: the HTTP client must not send a request again on its own
// when a kept connection breaks after the request was written.
func TestNoSilentRepeat(t *testing.T) {
	for name, tc := range map[string]struct {
		method string
		body   []byte
	}{
		"with a body":       {http.MethodPost, []byte("x")},
		"with an empty one": {http.MethodGet, []byte{}},
		"without a body":    {http.MethodGet, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var served atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if served.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set(engineapi.HeaderRequestID, r.Header.Get(engineapi.HeaderRequestID))
			}))
			defer s.Close()
			c := New(nil)
			_, f := c.Call(context.Background(), endpoint(s), "1", tc.method, "/", "", tc.body)
			g.Expect(f).To(BeNil())
			_, f = c.Call(context.Background(), endpoint(s), "2", tc.method, "/", "", tc.body)
			g.Expect(f.Kind).To(Equal(retry.LinkLost))
			g.Expect(served.Load()).To(BeEquivalentTo(2))
		})
	}
}

func TestFailuresByKind(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	gone := fleet.Endpoint{ID: "gone", Address: l.Addr().String()}
	l.Close()
	_, f := New(nil).Call(context.Background(), gone, "1", http.MethodPost, "/", "", nil)
	g.Expect(f.Kind).To(Equal(retry.NotSent))

	for name, want := range map[string]retry.Failure{
		"refused": retry.RefusedBeforeExecution, "crossed": retry.ProtocolError, "status": retry.ProtocolError,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch name {
			case "refused":
				w.Header().Set(engineapi.HeaderNotRun, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			case "crossed":
				w.Header().Set(engineapi.HeaderRequestID, "another")
			case "status":
				w.WriteHeader(http.StatusInternalServerError)
			}
		}))
		var f *attempt.Failure
		if name == "status" {
			_, f = New(nil).Start(context.Background(), endpoint(s), "1", &engineapi.CompletionRequest{})
		} else {
			_, f = New(nil).Call(context.Background(), endpoint(s), "1", http.MethodPost, "/", "", nil)
		}
		g.Expect(f.Kind).To(Equal(want), name)
		s.Close()
	}
}

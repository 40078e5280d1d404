package peering

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/dispatch"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// FuzzRecord merges arbitrary records, as a faulty or malicious peer might send them.
func FuzzRecord(f *testing.F) {
	good, _ := proto.Marshal(&peerv1.NodeRecord{
		Vm: "b", Epoch: 1, Version: 2, Loads: &peerv1.Loads{Endpoints: []uint32{1, 2}, Fills: []byte{255}},
		UsageKeys: []uint32{1, 2}, UsageInFlight: []uint32{3}, Leaves: []*peerv1.Leave{{Endpoint: "e"}},
	})
	f.Add(good)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var r peerv1.NodeRecord
		if proto.Unmarshal(data, &r) != nil {
			return
		}
		view := membership.New(membership.Config{VM: "a", Incarnation: []byte{1}})
		cs := NewClusterState(view, dispatch.New(scheduler.New(scheduler.Config{})), DefaultHomeEntries, func(drain.Leave, string) {})
		cs.Merge(time.Now(), []*peerv1.NodeRecord{&r})
		cs.Heartbeat(time.Now(), nil)
		if view.Self().GetVm() != "a" {
			t.Fatal("a peer's record replaced the entry's own record")
		}
	})
}

func TestPeerToken(t *testing.T) {
	g := NewWithT(t)
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	h := requireToken("secret", ok)
	for header, want := range map[string]int{"": 401, "Bearer other": 401, "Bearer secret": 200} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.Header.Set(tokenHeader, header)
		h.ServeHTTP(w, r)
		g.Expect(w.Code).To(Equal(want), header)
	}
}

package table_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/table"
)

func newRow(kind, host, prefix string) table.Row {
	return table.Row{
		Workspace: table.AnyWorkspace, Kind: kind, Target: "t", Timeout: time.Second,
		Route: table.Route{Host: host, PathPrefix: prefix},
	}
}

func TestMatchRoutePrefersLongestPrefix(t *testing.T) {
	g := NewWithT(t)
	tb, err := table.New("t", []table.Row{
		newRow("short", "a.example", "/x/"), newRow("long", "a.example", "/x/y/"), newRow("other", "b.example", "/x/"),
	}, table.Options{})
	g.Expect(err).NotTo(HaveOccurred())
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/yy": "short", "/x/": "short"} {
		r, ok := tb.MatchRoute("A.example", path)
		g.Expect(ok).To(BeTrue(), path)
		g.Expect(r.Kind).To(Equal(want), path)
	}
	for _, path := range []string{"/x", "/", "/y/x/"} {
		_, ok := tb.MatchRoute("a.example", path)
		g.Expect(ok).To(BeFalse(), path)
	}
	_, ok := tb.MatchRoute("c.example", "/x/1")
	g.Expect(ok).To(BeFalse())
}

func TestHasTarget(t *testing.T) {
	g := NewWithT(t)
	shared := newRow("shared", "a.example", "/y/")
	shared.Shares = []table.Share{{Target: "u", Weight: 1}}
	tb, err := table.New("t", []table.Row{newRow("r", "a.example", "/x/"), shared}, table.Options{Services: []table.Service{{Target: "s"}}})
	g.Expect(err).NotTo(HaveOccurred())
	for target, want := range map[string]bool{"t": true, "u": true, "s": true, "v": false, "": false} {
		g.Expect(tb.HasTarget(target)).To(Equal(want), target)
	}
}

func TestPickTargetFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	r := table.Row{Target: "a", Shares: []table.Share{{Target: "a", Weight: 90}, {Target: "b", Weight: 10}}}
	g.Expect(r.PickTarget(0).Target).To(Equal("a"))
	g.Expect(r.PickTarget(0.89).Target).To(Equal("a"))
	g.Expect(r.PickTarget(0.91).Target).To(Equal("b"))
	g.Expect(table.Row{Target: "c"}.PickTarget(0.5).Target).To(Equal("c"))
	r.Shares = []table.Share{{Target: "b", Weight: 0}}
	g.Expect(r.PickTarget(0.5).Target).To(Equal("a"), "weights that sum to zero keep the target")
}

func TestWorkspaceByKey(t *testing.T) {
	g := NewWithT(t)
	tb, err := table.New("t", []table.Row{newRow("k", "h", "/")}, table.Options{
		Workspaces: []table.Workspace{{Name: "w", Keys: []string{"one", "two"}}, {Name: "v", Keys: []string{"three"}}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	w, ok := tb.WorkspaceByKey("two")
	g.Expect(ok).To(BeTrue())
	g.Expect(w.Name).To(Equal("w"))
	_, ok = tb.WorkspaceByKey("four")
	g.Expect(ok).To(BeFalse())
	_, ok = tb.WorkspaceByKey("")
	g.Expect(ok).To(BeFalse())
}

func TestNewCollectsFindings(t *testing.T) {
	g := NewWithT(t)
	bad := newRow("k", "h", "x")
	bad.Timeout = 0
	bad.Target = ""
	_, err := table.New("t", []table.Row{bad, newRow("k", "h", "/")}, table.Options{
		Workspaces: []table.Workspace{{Name: "w", Keys: []string{"same"}}, {Name: "v", Keys: []string{"same"}}, {}},
		Services:   []table.Service{{}},
	})
	var findings table.Findings
	g.Expect(err).To(BeAssignableToTypeOf(findings))
	g.Expect(err.(table.Findings)).To(HaveLen(7))
}

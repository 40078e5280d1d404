package settings

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestAllFindingsTogether(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("BRIDGEHOIST_LISTEN", "nowhere")
	s := New("prog")
	listen := s.String("listen", "", "")
	wait := s.Duration("wait", time.Hour, "")
	platform := s.String("platform", "", "")
	var out bytes.Buffer
	code := mainCode(s, []string{"-platform", "http://host:80"}, &out, func() {
		s.NeedAddress("listen", *listen)
		s.NeedDuration("wait", *wait, 0, time.Minute)
		s.NeedURL("platform", *platform)
	}, func() error { t.Fatal("ran"); return nil })
	g.Expect(code).To(Equal(ExitUsage))
	g.Expect(out.String()).To(Equal(`prog: 3 bad settings:
  -listen (BRIDGEHOIST_LISTEN): "nowhere" is not IP:port
  -wait (BRIDGEHOIST_WAIT): 1h0m0s is not within 0s to 1m0s
  -platform (BRIDGEHOIST_PLATFORM): "http://host:80" is not http://IP:port or https://IP:port
`))
}

func TestUnknownFlag(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	code := mainCode(New("prog"), []string{"-no-such"}, &out, func() {}, func() error { return nil })
	g.Expect(code).To(Equal(ExitUsage))
	g.Expect(out.String()).To(ContainSubstring("no-such"))
	g.Expect(out.String()).NotTo(ContainSubstring("goroutine"))
}

package register_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/register"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

func TestRegister(t *testing.T) {
	g := NewWithT(t)
	r := register.New(func(b []byte) (string, error) {
		if string(b) == "bad" {
			return "", errors.New("bad")
		}
		return string(b), nil
	})
	now := time.Unix(0, 0)
	for _, step := range []struct {
		revision revision.ID
		content  string
		verdict  register.Verdict
		inForce  string
	}{
		{3, "a", register.Adopted, "a"},
		{2, "old", register.Stale, "a"},
		{3, "a", register.Known, "a"},
		{3, "other", register.Conflict, "a"},
		{5, "bad", register.Rejected, "a"},
		{5, "bad", register.Known, "a"},
		{4, "between", register.Stale, "a"},
		{6, "a", register.Adopted, "a"},
		{0, "bad", register.Rejected, "a"},
		{0, "bad", register.Known, "a"},
		{0, "no revision", register.Rejected, "a"},
	} {
		v, _ := r.Offer(now, step.revision, []byte(step.content))
		g.Expect(v).To(Equal(step.verdict), "revision %d", step.revision)
		g.Expect(r.Current().Value).To(Equal(step.inForce))
	}
}

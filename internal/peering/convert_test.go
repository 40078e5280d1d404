package peering

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/published"
)

func TestDocumentCertainRoundTrip(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	for _, certain := range []bool{false, true} {
		sent := published.Value{Name: published.Table, Revision: 7, Content: []byte("t"), FirstReadAt: now, Certain: certain}
		g.Expect(decodeDocument(now, encodeDocuments(now, []published.Value{sent})[0])).To(Equal(sent))
	}
}

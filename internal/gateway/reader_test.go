package gateway

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// TestARegistryThatCannotBeReadStopsNoReader: what a peer passes on may be a list that
// each entry refuses; the store's own is read all the same.
func TestARegistryThatCannotBeReadStopsNoReader(t *testing.T) {
	g := NewWithT(t)
	store := standin.New()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	refused := published.Value{Name: published.Fleet, Revision: 1, Content: []byte(`[{"id":`)}
	r := newReader(platform.NewPublished(platform.NewStore(server.URL, func() {})), func() (published.Value, bool) { return refused, true })
	store.Put(platform.ConfigurationKey, standin.Configuration{}.Encode())
	e := &standin.Endpoint{ID: "desk-1", Address: "127.0.0.1:1"}
	store.Put(platform.EndpointPrefix+e.ID, standin.Record(e, "desk", "dc", false))
	values, err := r.Read(context.Background(), 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(values).To(HaveLen(2))
	list, err := platform.NewEndpointParser(nil).Parse(values[0].Content)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list.Endpoints).To(HaveLen(1))
}

// TestAStoreThatHasNotBeenRestoredYetIsNotFollowed: others have told of a later era.
func TestAStoreThatHasNotBeenRestoredYetIsNotFollowed(t *testing.T) {
	g := NewWithT(t)
	store := standin.New()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	later, err := revision.New(1, 1)
	g.Expect(err).NotTo(HaveOccurred())
	told := published.Value{Name: published.Fleet, Revision: later, Content: []byte(`[]`)}
	r := newReader(platform.NewPublished(platform.NewStore(server.URL, func() {})), func() (published.Value, bool) { return told, true })
	store.Put(platform.EndpointPrefix+"a", []byte(`{}`))
	_, err = r.Read(t.Context(), 0)
	g.Expect(err).To(MatchError(platform.ErrEarlierEra))
	store.Restore(store.Snapshot())
	store.Put(platform.EndpointPrefix+"b", []byte(`{}`))
	values, err := r.Read(t.Context(), 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(values).To(HaveLen(1))
	g.Expect(values[0].Revision).To(Equal(later.WithNumber(2)))
}

// TestNoWatchBeginsAtAStaleList: it may be from before a restore, with a revision that the
// store has given out again since.
func TestNoWatchBeginsAtAStaleList(t *testing.T) {
	g := NewWithT(t)
	store := standin.New()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	r := newReader(platform.NewPublished(platform.NewStore(server.URL, func() {})), func() (published.Value, bool) { return published.Value{}, false })
	none := store.Snapshot()
	store.Put(platform.EndpointPrefix+"a", []byte(`{}`))
	store.Put(platform.EndpointPrefix+"b", []byte(`{}`))
	store.KeepCopy()
	store.Restore(none)
	store.Put(platform.EndpointPrefix+"c", []byte(`{}`))
	store.Put(platform.EndpointPrefix+"d", []byte(`{}`))
	_, err := r.ReadStale(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	values, err := r.Read(t.Context(), time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(values).To(HaveLen(1))
	records, err := fleet.DecodeRecords(values[0].Content)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records).To(HaveLen(2))
	g.Expect(records[0].ID).To(Equal("c"))
}

// TestOddEntriesThatComeByWatchesAreBounded guards against a registry that grows with each watch until no message of
// peers has room for it.
func TestOddEntriesThatComeByWatchesAreBounded(t *testing.T) {
	g := NewWithT(t)
	store := standin.New()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	var held published.Value
	r := newReader(platform.NewPublished(platform.NewStore(server.URL, func() {})), func() (published.Value, bool) { return held, held.Revision != 0 })
	announce := func(id string) {
		store.Put(platform.EndpointPrefix+id, standin.Record(&standin.Endpoint{ID: id, Address: "127.0.0.1:1"}, "desk", "dc", false))
		values, err := r.Read(t.Context(), time.Millisecond)
		g.Expect(err).NotTo(HaveOccurred())
		held = values[0]
		g.Expect(len(held.Content)).To(BeNumerically("<=", peering.MaxDocumentBytes))
		list, err := platform.NewEndpointParser(func(fleet.Findings) {}).Parse(held.Content)
		g.Expect(err).NotTo(HaveOccurred())
		_, listed := list.Endpoint(id)
		g.Expect(listed).To(BeTrue(), id)
		_, listed = list.Endpoint("first")
		g.Expect(listed).To(BeTrue())
	}
	announce("first")
	for batch := range 12 {
		for i := range 1000 {
			store.Put(fmt.Sprintf("%sodd-%d-%d", platform.EndpointPrefix, batch, i), []byte(`{"Service":"`+strings.Repeat("s", 600)+`"}`))
		}
		announce(fmt.Sprintf("zz-%d", batch))
	}
	lists, _ := store.Lists()
	g.Expect(lists).To(BeNumerically("<", 10))
}

package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/controllers"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/published"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
	"github.com/bridgehoist/bridgehoist/pkg/revision"
	"github.com/bridgehoist/bridgehoist/platform"
)

// reader turns what the platform's store holds into the published values: the
// configuration is the table, and the records of the endpoints are the fleet.
// Registries that peers pass on are adopted first, so that a reader that was cut
// off from the store for a while never builds on an older one.
type reader struct {
	source *platform.Published
	held   func() (published.Value, bool)

	// onEra, if set, is called when the store was restored, with the revisions of its answers
	// before and now.
	onEra func(before, now revision.ID)

	mu       sync.Mutex
	registry *fleet.Registry
	// since is where the next watch begins; zero if a list has to come first.
	since revision.ID
	// answered is the revision of the store's last answer to this reader.
	answered revision.ID
}

var _ controllers.ValueReader = (*reader)(nil)

// newReader makes a reader; held returns the newest fleet value known.
func newReader(s *platform.Published, held func() (published.Value, bool)) *reader {
	return &reader{source: s, held: held, registry: fleet.NewRegistry()}
}

// Read implements controllers.ValueReader.
func (r *reader) Read(ctx context.Context, wait time.Duration) ([]published.Value, error) {
	r.mu.Lock()
	since := r.since
	r.mu.Unlock()
	if wait == 0 || since == 0 {
		return r.list(ctx, r.source.List, true)
	}
	news, err := r.source.Watch(ctx, since, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		return r.list(ctx, r.source.List, true)
	}
	if err != nil {
		return nil, err
	}
	values, ok, err := r.apply(news)
	if !ok {
		// The changes aren't of what is known by now, or there are too many.
		return r.list(ctx, r.source.List, true)
	}
	return values, err
}

// apply takes the answer to a watch; it can't if what is known by now is of another epoch, or if the
// registry became too long for a message of peers, while a list is bounded. The changes go into the
// encoded registry: decoding and encoding one takes many times as long.
func (r *reader) apply(news platform.News) (values []published.Value, ok bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held, ok := r.held()
	if !ok || news.Revision.Epoch() != held.Revision.Epoch() {
		return nil, false, nil
	}
	r.observe(news)
	r.since = news.Revision
	if changes := fleet.ChangesAfter(news.Endpoints, held.Revision.Number()); len(changes) > 0 {
		v, err := changed(held, changes)
		if err != nil {
			return nil, true, err
		}
		if len(v.Content) > peering.MaxDocumentBytes {
			r.since = 0
			return nil, false, nil
		}
		values = append(values, v)
	}
	if news.Table != nil {
		values = append(values, *news.Table)
	}
	return values, true, nil
}

// changed is the value that changes lead to from another.
func changed(held published.Value, changes []fleet.Record) (v published.Value, err error) {
	at := held.Revision.WithNumber(changes[len(changes)-1].Revision)
	v = published.Value{Name: published.Fleet, Revision: at, Base: held.Revision}
	if v.Content, err = fleet.Patch(held.Content, held.Revision.Number(), changes); err != nil {
		return v, err
	}
	v.Changes, err = fleet.EncodeChanges(changes)
	return v, err
}

// ReadStale returns all values as they were at most some seconds ago. The next read lists them
// as they are: what is stale may be from before the last restore of the store.
func (r *reader) ReadStale(ctx context.Context) ([]published.Value, error) {
	return r.list(ctx, r.source.ListStale, false)
}

// list reads all; watchable says that a watch may begin there.
func (r *reader) list(ctx context.Context, from func(context.Context) (platform.News, error), watchable bool) ([]published.Value, error) {
	before, others := r.known()
	all, err := from(ctx)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adopt()
	all.Revision = all.Revision.WithRewinds(before, others)
	if all.Revision.Epoch() < r.registry.Revision().Epoch() {
		return nil, platform.ErrEarlierEra
	}
	r.observe(all)
	r.since = 0
	if watchable {
		r.since = all.Revision
	}
	var values []published.Value
	if r.registry.Replace(all.Endpoints, all.Revision) {
		content, err := r.registry.Encode()
		if err != nil {
			return nil, err
		}
		values = append(values, published.Value{Name: published.Fleet, Revision: r.registry.Revision(), Content: content})
	}
	if all.Table != nil {
		values = append(values, *all.Table)
	}
	return values, nil
}

// known is what the store has answered to this reader last, and the newest that others have told.
func (r *reader) known() (answered, told revision.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adopt()
	return r.answered, r.registry.Revision()
}

// adopt takes the newest registry that peers have passed on.
func (r *reader) adopt() {
	if v, ok := r.held(); ok {
		// One that can't be read was refused and logged when it came; it changes nothing.
		_ = r.registry.Adopt(v.Content, v.Revision)
	}
}

// observe compares the epoch of an answer with that of the one before.
func (r *reader) observe(news platform.News) {
	before := r.answered
	r.answered = news.Revision
	if before != 0 && before.Epoch() != r.answered.Epoch() && r.onEra != nil {
		r.onEra(before, r.answered)
	}
}

package quarantine

import "time"

// maxRecent bounds what is remembered to have come whole lately, twice over: an entry of the
// smallest fleet answers some ten requests a second, which is as many in Trust.
const maxRecent = 1024

// recent remembers which requests came whole lately. The zero value is empty.
type recent struct {
	// newer and older hold when requests came whole; newer becomes older when it is full.
	newer, older map[Identity]time.Time
}

func (r *recent) add(now time.Time, id Identity) {
	if len(r.newer) >= maxRecent {
		r.older, r.newer = r.newer, nil
	}
	if r.newer == nil {
		r.newer = make(map[Identity]time.Time)
	}
	r.newer[id] = now
}

// at returns when a request came whole last, if that is remembered.
func (r *recent) at(id Identity) (at time.Time, known bool) {
	if at, known = r.newer[id]; known {
		return at, true
	}
	at, known = r.older[id]
	return at, known
}

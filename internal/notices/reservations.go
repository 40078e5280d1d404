package notices

import (
	"net/netip"
	"slices"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
)

// ReservationState is what becomes of reserved room.
type ReservationState int

// The states. ReservationCopied means that the copy is in the engine's memory, and so in the reports
// that the engine makes from then on.
const (
	ReservationMade ReservationState = iota + 1
	ReservationCopied
	ReservationReleased
)

// Reservation is room at an engine for a generation that is to be copied there.
type Reservation struct {
	// InstanceHash identifies the engine, and Run the generation.
	InstanceHash uint32
	Run          uint32
	Tokens       int
	State        ReservationState
}

// maxReservationsPerNotice bounds the reservations in a datagram, so that it isn't fragmented: each
// takes about 14 bytes. A plan of one entry rarely has more than three steps.
const maxReservationsPerNotice = 64

// SentReservations are reservations that were announced to peers.
type SentReservations struct {
	// Notified counts the datagrams sent, and Skipped those skipped by the rate limit.
	Notified, Skipped int

	notifier *Notifier
	peers    []netip.AddrPort
}

// AnnounceReservations announces reservations at engines of one data centre to its entries, or to
// all peers if SetPeers was called with broadcast. A datagram counts as a prompt notice against the
// limit of notices per second.
func (n *Notifier) AnnounceReservations(dataCenter string, reservations []Reservation) SentReservations {
	r := SentReservations{notifier: n}
	r.peers, r.Skipped = n.reserve(dataCenter, maxPromptNoticesPerSecond)
	r.Notified = r.Update(reservations)
	return r
}

// Update announces what became of the reservations to the peers that were notified of them, and
// returns the number of datagrams sent.
func (r SentReservations) Update(reservations []Reservation) (sent int) {
	for chunk := range slices.Chunk(reservations, maxReservationsPerNotice) {
		sent += r.notifier.send(&peerv1.Datagram{Kind: &peerv1.Datagram_Reservations{Reservations: encodeReservations(chunk)}}, r.peers)
	}
	return sent
}

func encodeReservations(reservations []Reservation) *peerv1.Reservations {
	m := &peerv1.Reservations{}
	for _, r := range reservations {
		m.Endpoints = append(m.Endpoints, r.InstanceHash)
		m.Runs = append(m.Runs, r.Run)
		m.Tokens = append(m.Tokens, uint32(min(max(r.Tokens, 0), maxNoticeTokens)))
		m.States = append(m.States, peerv1.ReservationState(r.State))
	}
	return m
}

// decodeReservations returns the reservations in a notice, without those in a state that later
// versions may add. A notice with arrays of different lengths, with more reservations than any
// entry sends at a time or with more tokens than any engine has is not valid as a whole.
func decodeReservations(m *peerv1.Reservations) (reservations []Reservation, valid bool) {
	count := len(m.GetEndpoints())
	if count > maxReservationsPerNotice || len(m.GetRuns()) != count || len(m.GetStates()) != count || len(m.GetTokens()) != count && len(m.GetTokens()) != 0 {
		return nil, false
	}
	for i, state := range m.GetStates() {
		r := Reservation{InstanceHash: m.GetEndpoints()[i], Run: m.GetRuns()[i], State: ReservationState(state)}
		if len(m.GetTokens()) > 0 {
			if m.GetTokens()[i] > maxNoticeTokens {
				return nil, false
			}
			r.Tokens = int(m.GetTokens()[i])
		}
		if r.State >= ReservationMade && r.State <= ReservationReleased {
			reservations = append(reservations, r)
		}
	}
	return reservations, true
}

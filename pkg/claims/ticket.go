package claims

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
)

const (
	// ticketPrefix distinguishes tickets from idempotency keys that callers generate.
	ticketPrefix = "bht1-"
	// macBytes is the length to which the HMAC in a ticket is truncated.
	macBytes = 16
	// maxTicketBytes limits the length of an encoded ticket.
	maxTicketBytes = 512
)

// Ticket is a decoded ticket.
type Ticket struct {
	OwnerVM      string
	OwnerAddress string
	Incarnation  Incarnation
	Serial       uint64
	// MintedMS is the time of minting in ms since the start of the incarnation, on its
	// monotonic clock.
	MintedMS uint64
	mac      []byte
}

// Incarnation identifies a process; it is random and drawn at each start.
type Incarnation [16]byte

// HasTicketPrefix reports whether text is a ticket, possibly a damaged one, and
// not an idempotency key that a caller generated.
func HasTicketPrefix(text string) bool { return strings.HasPrefix(text, ticketPrefix) }

// ParseTicket decodes a ticket. It reports false for text that is not a valid
// encoding, such as an idempotency key that a caller generated. It doesn't check
// the signature; see Ledger.Begin.
func ParseTicket(text string) (Ticket, bool) {
	if len(text) > maxTicketBytes || !HasTicketPrefix(text) {
		return Ticket{}, false
	}
	raw, err := base64.RawURLEncoding.DecodeString(text[len(ticketPrefix):])
	if err != nil {
		return Ticket{}, false
	}
	var msg peerv1.Ticket
	if err := proto.Unmarshal(raw, &msg); err != nil {
		return Ticket{}, false
	}
	t := Ticket{
		OwnerVM:      msg.GetOwnerVm(),
		OwnerAddress: msg.GetOwnerAddress(),
		Serial:       msg.GetSerial(),
		MintedMS:     msg.GetMintedMs(),
		mac:          msg.GetMac(),
	}
	if len(msg.GetIncarnation()) != len(t.Incarnation) {
		return Ticket{}, false
	}
	copy(t.Incarnation[:], msg.GetIncarnation())
	return t, true
}

func (t Ticket) encode() string {
	raw, err := proto.Marshal(&peerv1.Ticket{
		OwnerVm:      t.OwnerVM,
		OwnerAddress: t.OwnerAddress,
		Incarnation:  t.Incarnation[:],
		Serial:       t.Serial,
		MintedMs:     t.MintedMS,
		Mac:          t.mac,
	})
	if err != nil {
		// Marshal fails only for a VM name of invalid UTF-8, which the settings exclude.
		panic(err)
	}
	return ticketPrefix + base64.RawURLEncoding.EncodeToString(raw)
}

// sign returns the truncated HMAC of a ticket and its workspace under the owner's
// secret.
func sign(secret []byte, t Ticket, workspace string) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(t.Incarnation[:])
	var num [16]byte
	binary.BigEndian.PutUint64(num[:8], t.Serial)
	binary.BigEndian.PutUint64(num[8:], t.MintedMS)
	mac.Write(num[:])
	mac.Write([]byte(t.OwnerVM))
	mac.Write([]byte{0})
	mac.Write([]byte(t.OwnerAddress))
	mac.Write([]byte{0})
	mac.Write([]byte(workspace))
	return mac.Sum(nil)[:macBytes]
}

// Digest is a hash of a request's content.
type Digest [sha256.Size]byte

// DigestOf computes the digest of a request's parts. Each part is prefixed with
// its length, so that different lists of parts never hash the same input.
func DigestOf(parts ...string) Digest {
	h := sha256.New()
	var n [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write([]byte(p))
	}
	return Digest(h.Sum(nil))
}

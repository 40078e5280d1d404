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
	// prefix tells a ticket from a key that a caller made up.
	prefix = "bht1-"
	// macBytes of the HMAC are kept in a ticket.
	macBytes = 16
	// maxTicketBytes bounds the text of a ticket.
	maxTicketBytes = 512
)

// Ticket is a decoded ticket.
type Ticket struct {
	OwnerVM      string
	OwnerAddress string
	Incarnation  Incarnation
	Serial       uint64
	MintedMS     uint64
	mac          []byte
}

// Incarnation identifies one start of one process; it is random.
type Incarnation [16]byte

// LooksLikeTicket tells a ticket, perhaps a damaged one, from a key that a
// caller made up.
func LooksLikeTicket(text string) bool { return strings.HasPrefix(text, prefix) }

// ParseTicket decodes a ticket. It reports false for text that is no ticket,
// such as a key that the caller made up.
func ParseTicket(text string) (Ticket, bool) {
	if len(text) > maxTicketBytes || !LooksLikeTicket(text) {
		return Ticket{}, false
	}
	raw, err := base64.RawURLEncoding.DecodeString(text[len(prefix):])
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
		// Only invalid UTF-8 in the VM's name fails here; settings exclude it.
		panic(err)
	}
	return prefix + base64.RawURLEncoding.EncodeToString(raw)
}

// sign binds a ticket to its owner's secret and to one workspace.
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

// Digest identifies the content of a request.
type Digest [sha256.Size]byte

// DigestOf computes the digest of a request. Each part is preceded by its
// length, so that no two lists of parts give the same input.
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

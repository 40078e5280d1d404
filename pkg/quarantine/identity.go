package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net"
	"strings"
)

// Identity names what a caller asked for, whatever id its request has: the same workspace
// asking for the same thing again has the same identity. It is a cryptographic digest, so
// that no caller can make a request of the identity of another one's: 128 bits can't be
// searched for a second preimage.
type Identity [16]byte

// IdentityOf computes the identity of a request. Path is the request target, query
// included. Two callers of one workspace share their identities, since a workspace may use
// several keys for the same work.
func IdentityOf(workspace, host, path string, body []byte) Identity {
	digest := sha256.New()
	for _, part := range [][]byte{[]byte(workspace), []byte(hostname(host)), []byte(path), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// Writing to a hash never fails.
		_, _ = digest.Write(length[:])
		_, _ = digest.Write(part)
	}
	return Identity(digest.Sum(nil)[:len(Identity{})])
}

// hostname is a host as routes match it: without a port, in lower case.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// String gives the identity for logs.
func (i Identity) String() string { return hex.EncodeToString(i[:]) }

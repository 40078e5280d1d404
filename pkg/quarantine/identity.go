package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net"
	"strings"
)

// Identity identifies the content of a request independently of its request id: equal requests
// of one workspace have equal identities. It is a cryptographic digest, so that no caller can
// craft a request with the identity of another one: a second preimage of 128 bits can't be found
// by search.
type Identity [16]byte

// IdentityOf computes the identity of a request. Path is the request target including the query.
// Callers of one workspace share identities, since a workspace may use several keys for the same
// work.
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

// hostname normalises a host as routes match it: without a port, in lower case.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// String returns the identity in hexadecimal, for logs.
func (i Identity) String() string { return hex.EncodeToString(i[:]) }

package entry

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	schemeHTTP  = "http"
	schemeHTTPS = "https"

	peerDialTimeout = time.Second
	peerIdlePerHost = 32
	peerIdleTimeout = time.Minute
)

// peerTLS makes the mutual TLS of the peer traffic, or nil if none is set.
func peerTLS(c *Config) (*tls.Config, error) {
	if c.PeerTLSCert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(c.PeerTLSCert, c.PeerTLSKey)
	if err != nil {
		return nil, errors.Wrap(err, "peer-tls-cert")
	}
	pem, err := os.ReadFile(c.PeerTLSCA)
	if err != nil {
		return nil, errors.Wrap(err, "peer-tls-ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("peer-tls-ca: no certificate in the file")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// operatorTLS makes the TLS of the operator listener, or nil if none is set.
func operatorTLS(c *Config) (*tls.Config, error) {
	if c.OperatorTLSCert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(c.OperatorTLSCert, c.OperatorTLSKey)
	if err != nil {
		return nil, errors.Wrap(err, "operator-tls-cert")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}, nil
}

// peerHTTP makes the client for peers.
func peerHTTP(t *tls.Config) *http.Client {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     t,
		MaxIdleConnsPerHost: peerIdlePerHost,
		IdleConnTimeout:     peerIdleTimeout,
	}}
}

func scheme(t *tls.Config) string {
	if t == nil {
		return schemeHTTP
	}
	return schemeHTTPS
}

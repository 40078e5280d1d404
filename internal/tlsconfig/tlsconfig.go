// Package tlsconfig makes TLS configurations from the files that settings name.
package tlsconfig

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/httpclient"
	"github.com/bridgehoist/bridgehoist/internal/settings"
	"github.com/bridgehoist/bridgehoist/internal/tcpconn"
	"github.com/bridgehoist/bridgehoist/internal/waitfor"
)

const (
	dialTimeout = time.Second
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	idlePerHost  = 32
	idleTimeout  = time.Minute
)

// Files names the files of one configuration; without Cert there is no TLS.
type Files struct {
	Cert string
	Key  string
	// CA holds the authorities that sign the other side; empty for a server that
	// asks no certificate of its callers.
	CA string
}

// RegisterPeer adds the settings of the peer traffic to a set.
func (f *Files) RegisterPeer(s *settings.Set) {
	s.StringVar(&f.Cert, "peer-tls-cert", "", "certificate file for peer traffic")
	s.StringVar(&f.Key, "peer-tls-key", "", "key file for peer-tls-cert")
	s.StringVar(&f.CA, "peer-tls-ca", "", "file of the authorities that sign peers' certificates")
}

// RegisterOperator adds the settings of the operator listener to a set.
func (f *Files) RegisterOperator(s *settings.Set) {
	s.StringVar(&f.Cert, "operator-tls-cert", "", "certificate file for the operator listener")
	s.StringVar(&f.Key, "operator-tls-key", "", "key file for operator-tls-cert")
}

// CheckPeer records what is wrong with the settings of the peer traffic.
func (f *Files) CheckPeer(s *settings.Set) {
	together(s, "peer-tls-cert", f.Cert, "peer-tls-key", f.Key)
	together(s, "peer-tls-cert", f.Cert, "peer-tls-ca", f.CA)
}

// CheckOperator records what is wrong with those of the operator listener.
func (f *Files) CheckOperator(s *settings.Set) {
	together(s, "operator-tls-cert", f.Cert, "operator-tls-key", f.Key)
}

func together(s *settings.Set, nameA, a, nameB, b string) {
	if (a == "") != (b == "") {
		s.Findf(nameA, "must be set together with -%s", nameB)
	}
}

// Load reads the files. It returns nil without TLS; with CA, TLS is mutual.
func (f *Files) Load() (*tls.Config, error) {
	if f.Cert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, errors.Wrapf(err, "TLS certificate %s", f.Cert)
	}
	c := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	if f.CA == "" {
		return c, nil
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Wrap(err, "TLS authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("TLS authorities: no certificate in %s", f.CA)
	}
	c.RootCAs, c.ClientCAs = pool, pool
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c, nil
}

// Await waits until the files can be loaded, as while they are being written. It returns the context's error if that ends
// first.
func (f *Files) Await(ctx context.Context, logger *log.Logger) error {
	_, err := waitfor.Success(ctx, logger, "TLS files", f.Cert, f.Load)
	return err
}

// Client makes the HTTP client of the peer traffic.
func Client(t *tls.Config) *http.Client {
	return &http.Client{Transport: httpclient.New(&http.Transport{
		DialContext:         tcpconn.Dialer(dialTimeout),
		TLSClientConfig:     t,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeadBytes,
	})}
}

// Scheme gives the scheme of an address with or without TLS.
func Scheme(t *tls.Config) string {
	if t == nil {
		return "http"
	}
	return "https"
}

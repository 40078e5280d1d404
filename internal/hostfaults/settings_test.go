package hostfaults

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// badFiles are what may lie where the settings file is expected, besides its contents.
var badFiles = map[string]func(path string) error{
	"missing":          func(string) error { return nil },
	"directory":        func(path string) error { return os.Mkdir(path, 0o700) },
	"endless":          func(path string) error { return os.Symlink("/dev/zero", path) },
	"without a writer": func(path string) error { return unix.Mkfifo(path, 0o600) },
}

// badSettings are the ways to make the settings file invalid.
func badSettings(p *process) map[string]func() {
	ways := map[string]func(){}
	for name, data := range standin.InvalidSettings(p.vm) {
		ways[name] = func() { p.write(data) }
	}
	for name, make := range badFiles {
		ways[name] = func() {
			_ = os.Remove(p.file)
			if err := make(p.file); err != nil {
				p.Fatal(err)
			}
		}
	}
	return ways
}

// valid puts a valid settings file in place, whatever is there.
func (p *process) valid() {
	if info, err := os.Lstat(p.file); err == nil && info.IsDir() {
		os.Remove(p.file)
	}
	p.write(standin.SettingsFile(p.vm))
}

func TestBadSettingsAreWaitedForAndNotReloaded(t *testing.T) {
	for name := range badSettings(daemons["gateway"](t)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play(daemons["gateway"](t), func(p *process) phases {
				spoil := badSettings(p)[name]
				spoil()
				return phases{lift: p.valid, serving: func() {
					spoil()
					p.signal(syscall.SIGHUP)
					p.await("the reload is refused", func() bool { return strings.Contains(p.buffer.String(), "settings not reloaded") })
				}}
			})
		})
	}
}

func TestAGatewayThatWaitsForItsSettingsStops(t *testing.T) {
	p := daemons["gateway"](t)
	p.write(nil)
	p.start()
	p.await("it logs that it waits", func() bool { return strings.Contains(p.buffer.String(), p.file) })
	p.signal(syscall.SIGTERM)
	p.awaitEnd()
}

// TestOddSettingsKeepNoGatewayFromServing: defaults stand in.
func TestOddSettingsKeepNoGatewayFromServing(t *testing.T) {
	for name := range standin.OddSettings(daemons["gateway"](t).vm) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play(daemons["gateway"](t), func(p *process) phases {
				p.write(standin.OddSettings(p.vm)[name])
				return phases{serving: func() {
					p.await("the log names the field", func() bool { return strings.Contains(p.buffer.String(), "settings not used") })
				}}
			})
		})
	}
}

func TestTLSFilesAreWaitedFor(t *testing.T) {
	for _, name := range []string{"entry", "controller"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play(daemons[name](t), func(p *process) phases {
				dir := t.TempDir()
				cert, key := filepath.Join(dir, "cert"), filepath.Join(dir, "key")
				p.args = append(p.args, "-peer-tls-cert", cert, "-peer-tls-key", key, "-peer-tls-ca", cert)
				// The address of peers answers no plain HTTP.
				p.essential = slices.Delete(p.essential, min(1, len(p.essential)), min(2, len(p.essential)))
				if err := os.WriteFile(cert, nil, 0o600); err != nil {
					t.Fatal(err)
				}
				return phases{lift: func() { writeCertificate(t, cert, key) }}
			})
		})
	}
}

func writeCertificate(t *testing.T, certFile, keyFile string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		t.Fatal(err)
	}
	key, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	for path, block := range map[string]*pem.Block{certFile: {Type: "CERTIFICATE", Bytes: cert}, keyFile: {Type: "PRIVATE KEY", Bytes: key}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

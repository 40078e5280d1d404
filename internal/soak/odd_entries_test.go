package soak

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/freeport"
	"github.com/bridgehoist/bridgehoist/platform"
	"github.com/bridgehoist/bridgehoist/platform/standin"
)

// unrouted is a service that no route leads to.
const unrouted = "unrouted"

// oddWorld is a world whose last gateway hears of the list from the others alone.
type oddWorld struct {
	*world
	cutOff *gateway

	rawMu sync.Mutex
	raw   map[string]string
}

func newOddWorld(t *testing.T, flags ...string) *oddWorld {
	o := &oddWorld{raw: map[string]string{}}
	o.world = newWorldOver(t, seed{number: 1}, o.withRaw, append(flags, "-max-delegated", "0")...)
	o.cutOff = o.gateways[gateways-1]
	o.cutOff.vm.Store = freeport.Address(t)
	if err := os.WriteFile(o.cutOff.file, standin.SettingsFile(o.cutOff.vm), 0o600); err != nil {
		t.Fatal(err)
	}
	return o
}

// withRaw puts what is no base64 into the answers of the store.
func (o *oddWorld) withRaw(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		store.ServeHTTP(rec, r)
		body := rec.Body.Bytes()
		o.rawMu.Lock()
		for id, raw := range o.raw {
			body = bytes.ReplaceAll(body, []byte(`"`+base64.StdEncoding.EncodeToString([]byte(id))+`"`), []byte(raw))
		}
		o.rawMu.Unlock()
		maps.Copy(w.Header(), rec.Header())
		w.WriteHeader(rec.Code)
		_, _ = w.Write(body)
	})
}

func (o *oddWorld) write(entries []standin.OddEntry) {
	for _, e := range entries {
		if e.Raw != "" {
			o.rawMu.Lock()
			o.raw[e.ID] = e.Raw
			o.rawMu.Unlock()
		}
		o.store.Put(e.Key(), e.Value)
	}
}

// followed waits until each gateway serves requests for a service that only a server that was listed just now has.
func (o *oddWorld) followed(t *testing.T, by string, service string) {
	t.Helper()
	for _, g := range o.gateways {
		client := &http.Client{Transport: &http.Transport{}, Timeout: callerTimeout}
		status := 0
		for end := time.Now().Add(readyTimeout); status != http.StatusOK; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s doesn't follow the list (%s), status %d", g.vm.VM, by, status)
			}
			req := g.request(g.nextID(), "/"+service+"/x")
			req.Header.Set(platform.HeaderWait, "500")
			resp, err := client.Do(req)
			if err != nil {
				continue
			}
			status = resp.StatusCode
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		client.CloseIdleConnections()
	}
}

// services are those of the servers that are listed after odd entries.
func services(kind int) []string {
	return []string{fmt.Sprintf("watched%d", kind), fmt.Sprintf("listed%d", kind), fmt.Sprintf("corrected%d", kind)}
}

// configure publishes a configuration with a route for each service, and returns it.
func (o *oddWorld) configure(kinds int) standin.Configuration {
	c := standin.Configuration{Version: 2, Engines: []string{"engine"}, Services: []string{"desk", unrouted}, Workspaces: map[string][]string{"w": {apiKey}}}
	for k := range kinds {
		c.Services = append(c.Services, services(k)...)
	}
	for _, name := range append(c.Services, c.Engines...) {
		kind := standin.Safe
		if name == "engine" {
			kind = standin.Stream
		}
		if name != unrouted {
			c.Routes = append(c.Routes, standin.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Target: name, Attempts: 1, Timeout: callerTimeout, Objective: callerTimeout})
		}
	}
	o.put(platform.ConfigurationKey, c.Encode())
	return c
}

// live fails the test if a process that wasn't told to has ended.
func (o *oddWorld) live(t *testing.T) {
	for _, g := range o.gateways {
		g.mu.Lock()
		ended, restarting := g.ended, g.restarting
		g.mu.Unlock()
		select {
		case <-ended:
			if !restarting {
				t.Errorf("%s has ended", g.vm.VM)
			}
		default:
		}
	}
}

// TestNoOddEntryEndsAProcessOrItsList: processes that read the list of servers with odd entries, or get it from a peer.
func TestNoOddEntryEndsAProcessOrItsList(t *testing.T) {
	o := newOddWorld(t)
	kinds := standin.OddEntries("desk", unrouted, o.trap.address)
	names := slices.Sorted(maps.Keys(kinds))
	o.configure(len(names))
	stop := o.watchMemory()
	for k, name := range names {
		t.Run(name, func(t *testing.T) {
			begun := time.Now()
			service := services(k)
			own := platform.EndpointPrefix + service[2] + "-0"
			odd := kinds[name]
			o.store.Put(own, odd[0].Value)
			defer func() {
				for _, e := range odd {
					o.store.Delete(e.Key())
				}
				o.rawMu.Lock()
				defer o.rawMu.Unlock()
				clear(o.raw)
			}()
			o.write(odd)
			o.endpoint(service[0] + "-0")
			o.followed(t, "a watch", service[0])
			o.store.Forget()
			o.cutOff.kill()
			o.endpoint(service[1] + "-0")
			o.followed(t, "a whole list", service[1])
			o.endpoint(service[2] + "-0")
			o.followed(t, "the entry corrected", service[2])
			o.live(t)
			t.Logf("%d entries, %v", len(odd), time.Since(begun).Round(10*time.Millisecond))
		})
	}
	stop()
	o.trap.check(t)
}

// TestNoOddConfigurationEndsAProcessOrItsList: the list is followed after each, and requests are served.
func TestNoOddConfigurationEndsAProcessOrItsList(t *testing.T) {
	o := newOddWorld(t)
	const kinds = 14
	good := o.configure(kinds)
	o.followed(t, "a good configuration", "desk")
	stop := o.watchMemory()
	for i, value := range standin.OddConfigurations(good) {
		o.store.Put(platform.ConfigurationKey, value)
		service := services(i % kinds)[i/kinds]
		o.endpoint(service + "-0")
		by := fmt.Sprintf("configuration %d, %.40q", i, value)
		o.followed(t, by, service)
		o.followed(t, by, "engine")
		o.live(t)
	}
	stop()
	o.trap.check(t)
}

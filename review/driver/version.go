package main

import (
	"net/http"
	"time"

	"github.com/bridgehoist/bridgehoist/platform/standin"
)

const (
	versionNodes = 6
	configApply  = 2 * time.Second
	// firstVersion is an example of the pages; dateVersion is the next one, numbered by its date.
	firstVersion = 7
	dateVersion  = 20261204075000
	nextVersion  = 8
	newKey       = "key-2"
	asks         = 20
)

// playVersion has the operator publish a configuration that takes a key away and moves a route.
func playVersion(w *world) (bool, error) {
	before := &rawServer{w: w, id: "desk-1", slots: deskSlots, room: deskRoom, work: deskWork}
	after := &rawServer{w: w, id: "newdesk-1", slots: deskSlots, room: deskRoom, work: deskWork}
	for s, service := range map[*rawServer]string{before: "desk", after: "newdesk"} {
		if err := s.start(); err != nil {
			return false, err
		}
		w.announce(s.id, s.address, service)
	}
	publish := func(version int, service string, keys ...string) {
		w.note("the operator confirms version %d: the route goes to %s, the keys are %v", version, service, keys)
		w.put(standin.Configuration{
			Version:  version,
			Routes:   []standin.Route{{Name: "issue", Host: host, Prefix: "/desk/", Kind: standin.Unsafe, Target: service, Attempts: 1, Timeout: deskTimeout, Objective: deskTimeout}},
			Services: []string{"desk", "newdesk"}, Workspaces: map[string][]string{tenant: keys},
		})
	}
	publish(firstVersion, "desk", apiKey, "key-0")
	store, err := serve(w.store.Handler())
	if err != nil {
		return false, err
	}
	if err := w.startNodes(versionNodes, 0, store); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	next := nextVersion
	if w.trouble {
		next = dateVersion
	}
	publish(next, "newdesk", newKey, "key-0")
	// Ten times the bound.
	time.Sleep(10 * configApply)
	old, denied := 0, 0
	for range asks {
		for _, n := range w.nodes {
			if s := w.ask(n, apiKey); s == http.StatusOK {
				old++
			}
			if s := w.ask(n, newKey); s == http.StatusUnauthorized {
				denied++
			}
		}
	}
	moved := len(after.runs)
	w.note("%d s after the confirmation: %d of %d requests with the key taken away were served, %d of %d with the new one got 401, %d ran on the new service, %d on the old one",
		int((10 * configApply).Seconds()), old, asks*versionNodes, denied, asks*versionNodes, moved, len(before.runs))
	return old > 0 || denied > 0 || len(before.runs) > 0, nil
}

// ask sends one request with a key on a new channel.
func (w *world) ask(n *node, key string) int {
	id := w.nextID()
	c, err := n.connect()
	if err != nil {
		return 0
	}
	defer c.Close()
	c.key = key
	status, _, _ := c.issue(id, "/desk/issue/"+id)
	w.note("%s at %s with %s: answered %d", id, n.name, key, status)
	return status
}

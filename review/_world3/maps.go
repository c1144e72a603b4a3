package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// playMaps lets an engine leave an arm order unanswered and carry it out late, while a second
// copy of an earlier answer arrives late on the connection.
func playMaps(r *record, trouble bool) bool {
	folder := newFolder()
	defer os.RemoveAll(folder)
	hosts := []string{"127.0.0.2", "127.0.0.3", "127.0.0.4"}
	g := newEngineGroup(r, hosts)
	s := newStore()
	list := func(sequence int) {
		for rank, e := range g.engines {
			s.put(fmt.Sprintf("servers/i-%d", rank), map[string]any{
				"service": "model", "address": e.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
				"coldRemainingMs": 0, "sequence": sequence, "born": r.begin.UnixMilli(),
			})
		}
	}
	list(1)
	s.put("op/config", map[string]any{
		"version": 10, "routes": []any{}, "limits": map[string]any{},
		"services": []any{map[string]any{
			"name": "model", "healthPath": "/health", "maxConnections": 200,
			"engine": map[string]any{
				"slots": 8, "stride": 1, "step_ms": 4, "per_seq_ms": 1, "read_per_s": 60000, "sets": 1, "experts": experts,
				"placements": experts/len(hosts) + 2, "spare": spare, "expertMb": 10, "linkMbps": 180000, "expertShare": 0.85,
			},
		}},
	})
	go func() {
		for sequence := 2; ; sequence++ {
			time.Sleep(1200 * time.Millisecond)
			list(sequence)
		}
	}()
	linkAddress, metricsAddress := freeAddress(), freeAddress()
	release(linkAddress, metricsAddress)
	_, links, err := net.SplitHostPort(linkAddress)
	check(err)
	_, metrics, err := net.SplitHostPort(metricsAddress)
	check(err)
	for rank, host := range hosts {
		startSidecar(folder, fmt.Sprintf("side-%d", rank+1), map[string]any{
			"role": "sidecar", "instance": fmt.Sprintf("side-%d", rank+1), "failure_domain": "z1", "region": "r1",
			"link_listen": net.JoinHostPort(host, links), "metrics_listen": net.JoinHostPort(host, metrics),
			"seeds": []string{}, "store": s.address, "server": g.engines[rank].address, "service": "model", "grace": "8s",
		})
	}
	for n := range 10 {
		time.Sleep(4 * time.Second)
		g.mu.Lock()
		// Other experts are in demand.
		g.hot = (g.hot + 5) % experts
		g.engines[1].faulty = trouble && n == 2
		g.mu.Unlock()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.printf("%d passes, %d changes of the map; %d of %d orders carried out late, %d second copies of %d answers; %d passes began with different maps",
		g.pass, g.changes, g.late, g.orders, g.extra, g.answers, g.broken)
	if g.changes == 0 {
		check(fmt.Errorf("the map never changed"))
	}
	return g.broken > 0
}

// startSidecar starts a process of the project's rank command.
func startSidecar(folder, name string, settings map[string]any) {
	data, err := json.Marshal(settings)
	check(err)
	path := filepath.Join(folder, name+".json")
	check(os.WriteFile(path, data, 0o600))
	process := exec.Command("target/anvilpoint", "rank")
	process.Env = append(os.Environ(), names["settings"]+"="+path)
	log, err := os.Create(filepath.Join(folder, name+".log"))
	check(err)
	process.Stdout, process.Stderr = log, log
	check(process.Start())
	started(process)
}

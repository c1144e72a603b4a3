package main

import "fmt"

const (
	host = "own.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// route is one route of the configuration.
type route struct {
	name, kind, service           string
	timeoutMS, targetMS, attempts int
}

func (r route) document() map[string]any {
	d := map[string]any{
		"name": r.name, "host": host, "prefix": "/" + r.name + "/", "kind": r.kind, "timeoutMs": r.timeoutMS,
		"targetLatencyMs": r.targetMS, "priority": 0, "service": r.service, "maxAttempts": r.attempts,
	}
	if r.kind == "streaming" {
		d["resumeStreams"], d["gapTargetMs"], d["enableAffinity"] = true, 120, true
	}
	return d
}

// publish writes a configuration with the routes, as the operator does.
func publish(s *store, version int, routes ...route) {
	var list, services []any
	known := map[string]bool{}
	for _, r := range routes {
		list = append(list, r.document())
		if known[r.service] {
			continue
		}
		known[r.service] = true
		services = append(services, map[string]any{"name": r.service, "healthPath": "/health", "maxConnections": 220})
	}
	s.put("op/config", map[string]any{
		"version": version, "routes": list, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{key}}},
	})
}

// startReplicas starts replicas of a service.
func startReplicas(s *store, service string, count int, configure func(n int, r *replica)) ([]*replica, error) {
	var list []*replica
	for n := range count {
		r := &replica{id: fmt.Sprintf("i-%s-%d", service, n+1), service: service, store: s}
		configure(n, r)
		if err := r.start(); err != nil {
			return list, err
		}
		list = append(list, r)
	}
	return list, nil
}

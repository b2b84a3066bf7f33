package main

// graceSeconds is the time between SIGTERM and SIGKILL, as in the deployment kite-entries.
const graceSeconds = 8

// Services of the configuration.
const (
	servicePool = "pool"
	serviceApp  = "app"
)

// configuration returns the first configuration, with routes like those of the deployment kite-entries.
func configuration() map[string]any { return configurationOf(7, clientKey) }

// configurationOf returns the configuration of a version with the given keys.
func configurationOf(version int, keys ...string) map[string]any {
	route := func(name, kind, service string, timeout, target int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "hostname": "shop.example", "prefix": "/" + name + "/", "route_type": kind, "service": service,
			"timeout_ms": timeout, "target_latency_ms": target, "priority": 1, "max_attempts": 1, "public": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("appraisal", "stream", servicePool, 12000, 1000, map[string]any{"sticky": true, "resumable": false, "gap_target_ms": 600}),
			route("caption", "stream", servicePool, 10000, 500, map[string]any{"sticky": true, "resumable": true, "gap_target_ms": 600, "max_attempts": 2}),
			route("register", wire.Once, serviceApp, 1500, 300, nil),
			route("list", wire.Repeatable, serviceApp, 1500, 300, map[string]any{"max_attempts": 2}),
		},
		"services": []any{
			map[string]any{"name": servicePool, "health_path": "/health", "max_connections": 720, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 9.1,
				"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 449897, "kv_token_bytes": 18432, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": serviceApp, "health_path": "/health", "max_connections": 192, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "club", "api_keys": keys, "priority": 1}},
	}
}

package main

const (
	deskTimeoutMS   = 1500
	deskObjectiveMS = 300

	poolTimeoutMS   = 10000
	poolObjectiveMS = 500
	poolPauseMS     = 600
)

// poolConfiguration is a configuration with one route to a service of model servers.
func poolConfiguration() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "query", "hostname": "desk.example", "prefix": "/query/", "service": "pool", "route_type": "stream", "resumable": true, "sticky": true,
			"timeout_ms": poolTimeoutMS, "target_latency_ms": poolObjectiveMS, "gap_target_ms": poolPauseMS, "max_attempts": 2, "priority": 0,
		}},
		"services": []map[string]any{{
			"name": "pool", "health_path": "/health", "max_connections": 780, "cold_start_s": 3, "cold_per_s": 9.1,
			"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 449824, "reuse_window_s": 10, "cap_factor": 2},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
		"tenants": []map[string]any{{"name": "one", "api_keys": []string{apiKey}}},
	}
}

// deskConfiguration is a configuration with one route to a plain service.
func deskConfiguration() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "register", "hostname": "desk.example", "prefix": "/register/", "service": "desk", "route_type": typeOnce,
			"timeout_ms": deskTimeoutMS, "target_latency_ms": deskObjectiveMS, "max_attempts": 2, "priority": 0,
		}},
		"services": []map[string]any{{"name": "desk", "health_path": "/health", "max_connections": 200}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
		"tenants":  []map[string]any{{"name": "one", "api_keys": []string{apiKey}}},
	}
}

package main

// poolConfiguration is a configuration with one route to a service of model servers.
func poolConfiguration() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "query", "hostname": "desk.example", "prefix": "/query/", "service": "pool", "route_type": "stream", "resumable": true, "sticky": true,
			"timeout_ms": stallDeadline.Milliseconds(), "target_latency_ms": stallObjectiveMS, "gap_target_ms": stallPauseMS, "max_attempts": 2, "priority": 0,
		}},
		"services": []map[string]any{{
			"name": "pool", "health_path": "/health", "max_connections": 780, "cold_start_s": 3, "cold_per_s": 9.1,
			"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 449824, "reuse_window_s": 10, "cap_factor": 2},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
		"tenants": []map[string]any{{"name": "one", "api_keys": []string{apiKey}}},
	}
}

package rig

// Route is a route of the operator's configuration.
type Route struct {
	Name        string
	Prefix      string
	Kind        string
	Service     string
	TimeoutMS   int
	TargetMS    int
	MaxAttempts int
	Resumable   bool
}

// Host is the host of all routes. Key is the key of Tenant, which requests have unless they name
// another one, and LargeKey that of LargeTenant.
const (
	Host        = "ficu95.example"
	Key         = "n2ctnfzs989anu6wsjnb"
	Tenant      = "hule930"
	LargeKey    = "anfqasnmgkcuyj8pjbvk"
	LargeTenant = "voje462"
)

// Config returns a configuration document. Services whose name begins with "model" are model
// servers.
func Config(version int, routes []Route, services ...string) map[string]any {
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.Name, "hostname": Host, "prefix": r.Prefix, "route_type": r.Kind, "timeout_ms": r.TimeoutMS,
			"target_latency_ms": r.TargetMS, "priority": 1, "service": r.Service, "max_attempts": r.MaxAttempts,
			"public": false, "sticky": r.Kind == "stream", "resumable": r.Resumable, "gap_target_ms": 600,
		})
	}
	for _, s := range services {
		doc := map[string]any{
			"name": s, "health_path": "/health", "max_connections": 720, "protocol": "h1", "tls": false,
			"cold_start_s": 3.0, "cold_per_s": 9.1,
		}
		if s == "model" {
			doc["engine"] = map[string]any{
				"slots": 64, "kv_capacity_tokens": 449897, "kv_token_bytes": 18432, "link_mbps": 550000.0, "moves": true,
				"backups": true, "stride": 8, "most": 2, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models": []map[string]any{{"name": "m"}},
			}
		}
		ss = append(ss, doc)
	}
	return map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{
			{"name": Tenant, "api_keys": []string{Key}, "priority": 1},
			{"name": LargeTenant, "api_keys": []string{LargeKey}, "priority": 1},
		},
	}
}

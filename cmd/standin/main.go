// Command standin runs one stand-in for an outside system: the platform, a model
// engine or a plain service. It prints "listening on <address>" and ends on
// SIGTERM or SIGINT.
//
// # Usage
//
//	standin platform --listen 127.0.0.1:7100 --vm-lag 1s
//	standin engine --listen 127.0.0.1:7200 --model m --capacity 16 --cold-limit 2 --warmup 10s
//	standin application --delay 20ms
//
// The packages below standin document the HTTP protocols, the faults that can be
// set over HTTP included.
package main

import "amaranthtide/cmd/internal/standins"

func main() { standins.Main() }

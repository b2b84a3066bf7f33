// Command standin runs one stand-in for an external system: the platform, a model
// engine or a plain service. It prints "listening on <address>" and exits on SIGTERM
// or SIGINT.
//
// # Usage
//
//	standin platform --listen 127.0.0.1:7100 --vm-lag 1s
//	standin engine --listen 127.0.0.1:7200 --model m --capacity 16 --cold-limit 2 --warmup 10s
//	standin application --delay 20ms
//
// The packages below the directory standin document the HTTP protocols and the faults
// that can be set over HTTP.
package main

import "amaranthtide/cmd/internal/standins"

func main() { standins.Main() }

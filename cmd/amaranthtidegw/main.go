// Command amaranthtidegw runs one router of the fleet on the users' platform.
//
// # Usage
//
//	amaranthtidegw [--settings FILE] [--check]
//
// The settings are read from FILE; the default is the file that the platform provides.
// With --check the program validates them and exits. The exit status is 2 if a setting
// is invalid and 1 if the router fails. SIGTERM and SIGINT start a graceful shutdown.
// SIGHUP reloads the settings, as does a change of the file.
package main

import "amaranthtide/cmd/internal/gatewaydaemon"

func main() { gatewaydaemon.Main() }

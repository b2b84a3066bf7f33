// Command amaranthtidegw runs one router of the fleet on the users' platform.
//
// # Usage
//
//	amaranthtidegw [--settings FILE] [--check]
//
// The settings come from FILE, or from the file that the platform has placed. With
// --check the program checks them and ends. It ends with status 2 if a setting is
// not allowed and with status 1 if the router can't run. SIGTERM and SIGINT start a
// graceful shutdown. SIGHUP reads the settings again, as does a change of the file.
package main

import "amaranthtide/cmd/internal/gatewaydaemon"

func main() { gatewaydaemon.Main() }

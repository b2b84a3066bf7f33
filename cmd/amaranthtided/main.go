// Command amaranthtided runs one router of the fleet.
//
// # Usage
//
//	amaranthtided --settings router.ini
//	amaranthtided --settings router.ini --check
//
// With --check it prints the settings in force and ends. It ends with status 2 if
// a setting is not allowed and with status 1 if the router can't run. SIGTERM and
// SIGINT start a graceful shutdown.
package main

import "amaranthtide/cmd/internal/daemon"

func main() { daemon.Main() }

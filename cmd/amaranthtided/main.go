// Command amaranthtided runs one router of the fleet.
//
// # Usage
//
//	amaranthtided --settings router.ini
//	amaranthtided --settings router.ini --check
//
// With --check it prints the settings in force and exits. The exit status is 2 if a
// setting is invalid and 1 if the router fails. SIGTERM and SIGINT start a graceful
// shutdown.
package main

import "amaranthtide/cmd/internal/daemon"

func main() { daemon.Main() }

// Command amaranthtide operates a fleet of routers: it reads and changes the
// configuration table, takes zones and VMs out of service and back, and shows the
// state of the fleet.
//
// # Usage
//
//	export AMARANTHTIDE_TOKEN=...
//	amaranthtide status --router 10.0.0.1:9000 --router 10.0.1.1:9000
//	amaranthtide table plan ./table --router 10.0.0.1:9000
//	amaranthtide table apply ./table --router 10.0.0.1:9000
//	amaranthtide zone out north-a --router 10.0.0.1:9000
//
// docs/operators.md describes the commands and their exit statuses.
package main

import "amaranthtide/cmd/internal/operator"

func main() { operator.Main() }

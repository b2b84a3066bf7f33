package table

import "amaranthtide"

// Workspace returns the workspace of that name, and whether there is one.
func (t *Table) Workspace(name amaranthtide.WorkspaceName) (amaranthtide.Workspace, bool) {
	return get[amaranthtide.Workspace](t, amaranthtide.RowWorkspace, string(name))
}

// BackendServer returns the backend server of that name, and whether there is one.
func (t *Table) BackendServer(name amaranthtide.BackendServerName) (amaranthtide.BackendServer, bool) {
	return get[amaranthtide.BackendServer](t, amaranthtide.RowBackendServer, string(name))
}

// Zone returns the zone of that name, and whether there is one.
func (t *Table) Zone(name amaranthtide.ZoneName) (amaranthtide.Zone, bool) {
	return get[amaranthtide.Zone](t, amaranthtide.RowZone, string(name))
}

// VM returns the VM of that name, and whether there is one.
func (t *Table) VM(name amaranthtide.VMName) (amaranthtide.VM, bool) {
	return get[amaranthtide.VM](t, amaranthtide.RowVM, string(name))
}

// Model returns the model of that name, and whether there is one.
func (t *Table) Model(name amaranthtide.ModelName) (amaranthtide.Model, bool) {
	return get[amaranthtide.Model](t, amaranthtide.RowModel, string(name))
}

// Route returns the route of that name, and whether there is one.
func (t *Table) Route(name amaranthtide.RouteName) (amaranthtide.Route, bool) {
	return get[amaranthtide.Route](t, amaranthtide.RowRoute, string(name))
}

func get[V amaranthtide.RowValue](t *Table, kind amaranthtide.RowKind, name string) (V, bool) {
	r, _ := t.Row(amaranthtide.RowKey{Kind: kind, Name: name})
	v, ok := r.Value.(V)
	return v, ok
}

// ServersOfModel returns the engines of a model in a zone, ordered by name. It
// includes engines that are out of service.
func (t *Table) ServersOfModel(model amaranthtide.ModelName, zone amaranthtide.ZoneName) []amaranthtide.Row {
	return t.content.Load().index.Load().serversOfModel[modelZone{model, zone}]
}

// ServersOfRoute returns the servers of a plain service in all zones, ordered by
// name. It includes servers that are out of service.
func (t *Table) ServersOfRoute(route amaranthtide.RouteName) []amaranthtide.Row {
	return t.content.Load().index.Load().serversOfRoute[route]
}

// VMsOfZone returns the VMs of a zone, ordered by name. It includes VMs that are out
// of service.
func (t *Table) VMsOfZone(zone amaranthtide.ZoneName) []amaranthtide.Row {
	return t.content.Load().index.Load().vmsOfZone[zone]
}

// Zones returns all zones, ordered by name. It includes zones that are out of service.
func (t *Table) Zones() []amaranthtide.Row { return t.content.Load().index.Load().zones }

// Models returns the names of all models in ascending order.
func (t *Table) Models() []amaranthtide.ModelName {
	rows := t.Rows(amaranthtide.RowModel)
	names := make([]amaranthtide.ModelName, len(rows))
	for i, r := range rows {
		names[i] = amaranthtide.ModelName(r.Key.Name)
	}
	return names
}

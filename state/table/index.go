package table

import (
	"maps"

	"amaranthtide"
)

// index holds the rows of the kinds that readers list by group. It is immutable.
type index struct {
	rows           map[amaranthtide.RowKey]amaranthtide.Row
	serversOfModel map[modelZone][]amaranthtide.Row
	serversOfRoute map[amaranthtide.RouteName][]amaranthtide.Row
	vmsOfZone      map[amaranthtide.ZoneName][]amaranthtide.Row
	zones          []amaranthtide.Row
}

type modelZone struct {
	model amaranthtide.ModelName
	zone  amaranthtide.ZoneName
}

// isIndexed reports whether rows of a kind are kept in the index.
func isIndexed(kind amaranthtide.RowKind) bool {
	return kind == amaranthtide.RowBackendServer || kind == amaranthtide.RowVM || kind == amaranthtide.RowZone
}

func newIndex(rows []amaranthtide.Row) *index {
	byKey := make(map[amaranthtide.RowKey]amaranthtide.Row, len(rows))
	for _, r := range rows {
		byKey[r.Key] = r
	}
	return buildIndex(byKey)
}

// withChanges returns a new index with the changes applied. It groups all rows again,
// which takes a few milliseconds per batch of changes with 5,500 servers.
func (x *index) withChanges(changes []amaranthtide.Change) *index {
	rows := maps.Clone(x.rows)
	for _, c := range changes {
		if c.After == nil {
			delete(rows, c.Key)
			continue
		}
		rows[c.Key] = amaranthtide.Row{Key: c.Key, Revision: c.Revision, Value: c.After}
	}
	return buildIndex(rows)
}

func buildIndex(rows map[amaranthtide.RowKey]amaranthtide.Row) *index {
	x := &index{
		rows:           rows,
		serversOfModel: make(map[modelZone][]amaranthtide.Row),
		serversOfRoute: make(map[amaranthtide.RouteName][]amaranthtide.Row),
		vmsOfZone:      make(map[amaranthtide.ZoneName][]amaranthtide.Row),
	}
	for _, r := range rows {
		switch v := r.Value.(type) {
		case amaranthtide.BackendServer:
			x.addServer(r, v)
		case amaranthtide.VM:
			x.vmsOfZone[v.Zone] = append(x.vmsOfZone[v.Zone], r)
		case amaranthtide.Zone:
			x.zones = append(x.zones, r)
		}
	}
	sortGroups(x.serversOfModel)
	sortGroups(x.serversOfRoute)
	sortGroups(x.vmsOfZone)
	sortByName(x.zones)
	return x
}

func (x *index) addServer(r amaranthtide.Row, s amaranthtide.BackendServer) {
	if s.Model != "" {
		key := modelZone{s.Model, s.Zone}
		x.serversOfModel[key] = append(x.serversOfModel[key], r)
	}
	if s.Route != "" {
		x.serversOfRoute[s.Route] = append(x.serversOfRoute[s.Route], r)
	}
}

func sortGroups[K comparable](groups map[K][]amaranthtide.Row) {
	for _, rows := range groups {
		sortByName(rows)
	}
}

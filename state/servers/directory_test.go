package servers_test

import (
	"testing"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/state/servers"
)

// Guards against servers that stay listed after Set removed them or moved them to
// another service, and against a zone whose state is not updated.
func TestDirectory(t *testing.T) {
	is := is.New(t)
	d := servers.New()
	d.Set([]amaranthtide.Instance{{Name: "e1", Service: "a", Zone: "z1"}, {Name: "e2", Service: "b", Zone: "z2"}})
	is.Equal(len(d.ByService("a")), 1)
	d.Set([]amaranthtide.Instance{{Name: "e2", Service: "a", Zone: "z2"}})
	is.Equal(len(d.ByService("b")), 0)
	is.Equal(d.ByService("a")[0].Name, amaranthtide.BackendServerName("e2"))
	is.Equal(d.Len(), 1)
	is.True(!d.ZoneOutOfService("z2"))
	d.SetZonesOutOfService(amaranthtide.NewSet[amaranthtide.ZoneName]("z2"))
	is.True(d.ZoneOutOfService("z2"))
	is.True(!d.ZoneOutOfService("z1"))
}

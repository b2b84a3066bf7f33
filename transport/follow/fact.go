package follow

import (
	"time"

	"amaranthtide"
)

// take takes one row and returns the servers that are gone by it.
func (f *Follower) take(now time.Time, row amaranthtide.FeedRow) []amaranthtide.BackendServerName {
	key := rowKey{row.Table, row.Key}
	if row.Value == nil {
		return f.remove(now, key)
	}
	fact, err := f.opts.Reader.Read(now, row)
	if err != nil {
		f.opts.Logger.Warn("row can't be read", "table", row.Table, "key", row.Key, "version", row.Version, "error", err)
		return f.remove(now, key)
	}
	if cfg, ok := fact.Configuration.Get(); ok && f.opts.Configuration.Apply(cfg) {
		f.opts.Logger.Info("configuration applied", "revision", cfg.Revision, "rules", len(cfg.Rules), "keys", len(cfg.Keys))
	}
	if zone, ok := fact.ZoneOut.Get(); ok {
		f.zones[key] = zone
		f.opts.Logger.Info("zone out of service", "zone", zone, "version", row.Version)
	}
	if in, ok := fact.Instance.Get(); ok {
		f.servers[key] = in.Name
		if f.listing.Put(now, in) {
			f.opts.Logger.Info("server listed", "server", in.Name, "service", in.Service, "zone", in.Zone,
				"leaving", in.Leaving, "cold", !in.ColdUntil.IsZero(), "version", row.Version)
		}
	}
	return nil
}

func (f *Follower) remove(now time.Time, key rowKey) []amaranthtide.BackendServerName {
	if zone, ok := f.zones[key]; ok {
		delete(f.zones, key)
		f.listing.ZoneReturned(now, zone)
		f.opts.Logger.Info("zone back in service", "zone", zone)
	}
	name, ok := f.servers[key]
	if !ok {
		return nil
	}
	gone := f.listing.Remove(now, name)
	f.opts.Logger.Info("server unlisted", "server", name, "gone", gone)
	if !gone {
		return nil
	}
	delete(f.servers, key)
	return []amaranthtide.BackendServerName{name}
}

// publish passes the servers and zones on to the request path.
func (f *Follower) publish(now time.Time, gone []amaranthtide.BackendServerName) {
	out := amaranthtide.NewSet[amaranthtide.ZoneName]()
	for _, zone := range f.zones {
		out.Add(zone)
	}
	f.opts.Servers.SetOut(out)
	f.opts.Servers.Set(f.listing.Listed(now))
	for _, name := range gone {
		f.opts.Gone(name)
	}
}

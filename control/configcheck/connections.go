package configcheck

import "github.com/wasabishunt/wasabishunt/trafficset"

// connectionsAboveSlots finds engine services whose limit of connections to one instance is above its run slots. For other
// services the set does not tell what an instance can handle.
func (f *findings) connectionsAboveSlots(set *trafficset.Set) {
	for _, s := range set.Services {
		if s.Engine != nil && s.Engine.Slots > 0 && s.MaxConnections > s.Engine.Slots {
			f.add("services."+s.Name, ConnectionsAboveSlots, "allows %d connections to an instance, which has %d slots", s.MaxConnections, s.Engine.Slots)
		}
	}
}

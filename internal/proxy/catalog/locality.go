package catalog

import (
	"maps"
	"slices"
	"time"
)

// Homes are the regions in which work may run. An empty list allows all regions.
type Homes []string

// Allow reports whether work may run in a region.
func (h Homes) Allow(region string) bool { return len(h) == 0 || slices.Contains(h, region) }

// SetEvacuatedZones replaces the set of evacuated zones. It reports whether the set changed.
func (c *Catalog) SetEvacuatedZones(zones []string, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	previous := c.current.Load()
	evacuated := make(map[string]time.Time, len(zones))
	for _, zone := range zones {
		since, already := previous.Evacuated[zone]
		if !already {
			since = now
		}
		evacuated[zone] = since
	}
	if maps.Equal(evacuated, previous.Evacuated) {
		return false
	}
	next := *previous
	next.Evacuated = evacuated
	next.Servers = maps.Clone(previous.Servers)
	next.markEvacuated(next.Servers)
	next.ByService = indexByService(next.Servers)
	c.publish(previous, &next)
	return true
}

// markEvacuated updates EvacuatedSince of a directory's servers to the snapshot's evacuated zones.
func (s *Snapshot) markEvacuated(directory map[string]*Server) {
	for id, server := range directory {
		if since := s.Evacuated[server.Zone]; !server.EvacuatedSince.Equal(since) {
			changed := *server
			changed.EvacuatedSince = since
			directory[id] = &changed
		}
	}
}

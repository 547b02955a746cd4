package catalog

import (
	"maps"
	"slices"
	"time"
)

// Homes are regions to which work may go; none means everywhere.
type Homes []string

// Allow reports whether work may go to a region.
func (h Homes) Allow(region string) bool { return len(h) == 0 || slices.Contains(h, region) }

// Evacuate puts the evacuation of some zones into force, in place of those before. It reports
// whether that changed anything.
func (c *Catalog) Evacuate(zones []string, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	previous := c.current.Load()
	evacuated := make(map[string]time.Time, len(zones))
	for _, zone := range zones {
		since, known := previous.Evacuated[zone]
		if !known {
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
	next.evacuate(next.Servers)
	next.ByService = indexByService(next.Servers)
	c.publish(previous, &next)
	return true
}

// evacuate brings the servers of a directory in line with the evacuated zones.
func (s *Snapshot) evacuate(directory map[string]*Server) {
	for id, server := range directory {
		if since := s.Evacuated[server.Zone]; !server.EvacuatedSince.Equal(since) {
			changed := *server
			changed.EvacuatedSince = since
			directory[id] = &changed
		}
	}
}

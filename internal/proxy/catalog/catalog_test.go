package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/era"
)

// countSnapshots counts the snapshots that a catalog publishes.
func countSnapshots(c *Catalog) *int {
	published := new(int)
	c.OnChange(func(_, _ *Snapshot) { *published++ })
	return published
}

// TestMergeDirectoryPublishesOnce guards against a snapshot for each change of a batch, and against
// an outdated entry if a batch changes it more than once.
func TestMergeDirectoryPublishesOnce(t *testing.T) {
	c := New(time.Minute)
	published := countSnapshots(c)
	now := time.Unix(1000, 0)
	var changes []Server
	for i := range 50 {
		changes = append(changes, Server{ID: fmt.Sprintf("s%02d", i), Service: "bookings", Revision: era.Revision(i)})
	}
	changes = append(changes,
		Server{ID: "s00", Gone: true},
		Server{ID: "s01", Service: "bookings", Draining: true, Revision: 60},
		Server{ID: "s02", Gone: true}, Server{ID: "s02", Service: "bookings", Revision: 61})
	c.MergeDirectory(changes, now)
	must.Eq(t, 1, *published)
	servers := c.Current().Servers
	must.MapLen(t, 50, servers)
	must.Len(t, 50, c.Current().ByService["bookings"])
	must.True(t, servers["s00"].Gone)
	must.Eq(t, now, servers["s00"].LeavingSince)
	must.True(t, servers["s01"].Leaving())
	must.False(t, servers["s02"].Leaving())
	c.MergeDirectory(nil, now)
	must.Eq(t, 1, *published)
}

// TestLeavingSinceIsKept guards against a LeavingSince that moves with each entry of a leaving
// server.
func TestLeavingSinceIsKept(t *testing.T) {
	c := New(time.Minute)
	first := time.Unix(1000, 0)
	merge := func(server Server, at time.Time) *Server {
		server.ID, server.Service = "s1", "bookings"
		c.MergeDirectory([]Server{server}, at)
		return c.Current().Servers["s1"]
	}
	must.Eq(t, first, merge(Server{Draining: true, Revision: 2}, first).LeavingSince)
	must.Eq(t, first, merge(Server{Draining: true, Revision: 3}, first.Add(time.Second)).LeavingSince)
	must.Eq(t, first, merge(Server{Gone: true}, first.Add(2*time.Second)).LeavingSince)
	must.True(t, merge(Server{Revision: 4}, first.Add(3*time.Second)).LeavingSince.IsZero())
	must.False(t, merge(Server{Draining: true, Revision: 3}, first.Add(4*time.Second)).Draining, must.Sprint("an older revision"))
}

// TestGoneServersAreRemovedAfterRetention guards against servers that leave the directory at once,
// or never.
func TestGoneServersAreRemovedAfterRetention(t *testing.T) {
	c := New(10 * time.Second)
	now := time.Unix(1000, 0)
	c.ReplaceDirectory([]Server{{ID: "s1", Service: "bookings"}, {ID: "s2", Service: "bookings"}}, 0, now)
	c.ReplaceDirectory([]Server{{ID: "s2", Service: "bookings"}}, 0, now)
	must.True(t, c.Current().Servers["s1"].Gone)
	c.MergeDirectory([]Server{{ID: "s2", Service: "bookings", Revision: 1}}, now.Add(11*time.Second))
	must.MapNotContainsKey(t, c.Current().Servers, "s1")
}

// TestOlderConfigurationIsRejected guards against a configuration that replaces a newer one.
func TestOlderConfigurationIsRejected(t *testing.T) {
	c := New(time.Minute)
	published := countSnapshots(c)
	must.True(t, c.ApplyConfiguration(&Configuration{Version: 7}))
	must.False(t, c.ApplyConfiguration(&Configuration{Version: 7}))
	must.False(t, c.ApplyConfiguration(&Configuration{Version: 6}))
	must.Eq(t, 7, c.Current().Configuration.Version)
	must.Eq(t, 1, *published)
}

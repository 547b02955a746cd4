package catalog

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/era"
)

func revisionOf(t *testing.T, eraNumber, number uint64) era.Revision {
	t.Helper()
	revision, err := era.New(eraNumber, number)
	must.NoError(t, err)
	return revision
}

// TestServerIncarnations guards against state of an earlier incarnation in a later one, and against
// entries of an earlier incarnation that replace a later one.
func TestServerIncarnations(t *testing.T) {
	c, now := New(time.Minute), time.Unix(1000, 0)
	merge := func(server Server) *Server {
		server.ID = "s1"
		c.MergeDirectory([]Server{server}, now)
		return c.Current().Servers["s1"]
	}
	must.True(t, merge(Server{Incarnation: 10, Revision: 5, Draining: true}).Leaving())
	must.False(t, merge(Server{Incarnation: 20, Revision: 6}).Leaving())
	must.Eq(t, 20, merge(Server{Incarnation: 10, Revision: 7, Draining: true}).Incarnation)
	must.False(t, merge(Server{Revision: 8, Draining: true}).Leaving(), must.Sprint("an entry without a start time is from another writer"))
	must.Eq(t, 20, merge(Server{Incarnation: 10, Revision: revisionOf(t, 1, 2)}).Incarnation, must.Sprint("the restored entry is of the earlier incarnation"))
}

// TestDirectoryOfRestoredStore guards against a restored store that makes gone or draining servers
// available before they write an entry again or are reinstated.
func TestDirectoryOfRestoredStore(t *testing.T) {
	c, now := New(time.Minute), time.Unix(1000, 0)
	c.ReplaceDirectory([]Server{{ID: "gone", Revision: 1}, {ID: "drains", Revision: 2}, {ID: "stays", Revision: 3}, {ID: "back", Revision: 4}}, 4, now)
	c.MergeDirectory([]Server{
		{ID: "gone", Gone: true, Revision: 5}, {ID: "back", Gone: true, Revision: 6}, {ID: "drains", Draining: true, Revision: 7}, {ID: "new", Revision: 8},
	}, now)
	restored := []Server{
		{ID: "gone", Revision: revisionOf(t, 1, 1)}, {ID: "drains", Revision: revisionOf(t, 1, 2)}, {ID: "stays", Revision: revisionOf(t, 1, 3)}, {ID: "back", Revision: revisionOf(t, 1, 4)},
	}
	c.ReplaceDirectory(restored, revisionOf(t, 1, 4), now)
	must.True(t, c.Current().Servers["gone"].Gone)
	must.True(t, c.Current().Servers["drains"].Draining)
	must.False(t, c.Current().Servers["stays"].Leaving())
	must.True(t, c.Current().Servers["new"].Gone, must.Sprint("the restore lost its entry until it writes one again"))
	c.MergeDirectory([]Server{{ID: "back", Revision: revisionOf(t, 1, 5)}, {ID: "new", Revision: revisionOf(t, 1, 6)}}, now)
	must.False(t, c.Current().Servers["back"].Gone)
	must.False(t, c.Current().Servers["new"].Gone)
	c.ReinstateServers(restored, now)
	must.False(t, c.Current().Servers["gone"].Gone, must.Sprint("its entry is unchanged"))
	must.True(t, c.Current().Servers["drains"].Draining)
}

package catalog

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/era"
)

func at(t *testing.T, epoch, number uint64) era.Revision {
	t.Helper()
	revision, err := era.New(epoch, number)
	must.NoError(t, err)
	return revision
}

// TestAnotherLifeOfAServer: a later life takes nothing over, and an earlier one changes nothing,
// whatever its revision.
func TestAnotherLifeOfAServer(t *testing.T) {
	c, now := New(time.Minute), time.Unix(1000, 0)
	merge := func(server Server) *Server {
		server.ID = "s1"
		c.MergeDirectory([]Server{server}, now)
		return c.Current().Servers["s1"]
	}
	must.True(t, merge(Server{Born: 10, Revision: 5, Draining: true}).Leaving())
	must.False(t, merge(Server{Born: 20, Revision: 6}).Leaving())
	must.Eq(t, 20, merge(Server{Born: 10, Revision: 7, Draining: true}).Born)
	must.False(t, merge(Server{Revision: 8, Draining: true}).Leaving(), must.Sprint("an entry that tells no life is another writer's"))
	must.Eq(t, 20, merge(Server{Born: 10, Revision: at(t, 1, 2)}).Born, must.Sprint("the copy is of the earlier life"))
}

// TestDirectoryOfAnOlderCopy: what was known to be gone or draining is not taken back by a
// store that came back from an older copy, until the server writes again or its entry has stood
// for long enough.
func TestDirectoryOfAnOlderCopy(t *testing.T) {
	c, now := New(time.Minute), time.Unix(1000, 0)
	c.ReplaceDirectory([]Server{{ID: "gone", Revision: 1}, {ID: "drains", Revision: 2}, {ID: "stays", Revision: 3}, {ID: "back", Revision: 4}}, 4, now)
	c.MergeDirectory([]Server{
		{ID: "gone", Gone: true, Revision: 5}, {ID: "back", Gone: true, Revision: 6}, {ID: "drains", Draining: true, Revision: 7}, {ID: "new", Revision: 8},
	}, now)
	copied := []Server{
		{ID: "gone", Revision: at(t, 1, 1)}, {ID: "drains", Revision: at(t, 1, 2)}, {ID: "stays", Revision: at(t, 1, 3)}, {ID: "back", Revision: at(t, 1, 4)},
	}
	c.ReplaceDirectory(copied, at(t, 1, 4), now)
	must.True(t, c.Current().Servers["gone"].Gone)
	must.True(t, c.Current().Servers["drains"].Draining)
	must.False(t, c.Current().Servers["stays"].Leaving())
	must.True(t, c.Current().Servers["new"].Gone, must.Sprint("its entry is lost until it writes again"))
	c.MergeDirectory([]Server{{ID: "back", Revision: at(t, 1, 5)}, {ID: "new", Revision: at(t, 1, 6)}}, now)
	must.False(t, c.Current().Servers["back"].Gone)
	must.False(t, c.Current().Servers["new"].Gone)
	c.ConfirmDirectory(copied, now)
	must.False(t, c.Current().Servers["gone"].Gone, must.Sprint("its entry still stands"))
	must.True(t, c.Current().Servers["drains"].Draining)
}

package catalog

import (
	"time"

	"dewknot/internal/base/era"
)

// mergeServer takes a server's entry, unless it is older than what is known.
func mergeServer(directory map[string]*Server, server Server, now time.Time) {
	known := directory[server.ID]
	switch {
	case known == nil || server.Born > known.Born:
		// A server that is new, or has started again: nothing of an earlier life counts.
		directory[server.ID] = entered(server, now)
	case server.Born < known.Born:
		// The entry of an earlier life, or one that another writer has put in its place.
	case server.Revision < known.Revision:
	default:
		directory[server.ID] = renewed(known, server, now)
	}
}

// entered returns the first entry of a server's life.
func entered(server Server, now time.Time) *Server {
	server.Gone, server.LeavingSince = false, time.Time{}
	if server.Draining {
		server.LeavingSince = now
	}
	return &server
}

// renewed returns a later entry of the same life. The time since which a server leaves is kept
// across repeated entries. What a store says that has come back from an older copy was true
// before: a server that it lists stays gone until its entry changes, and one that has said
// that it drains does not take that back.
func renewed(known *Server, server Server, now time.Time) *Server {
	restored := server.Revision.Era() > known.Revision.Era()
	if restored && known.Gone {
		gone := *known
		gone.Revision = server.Revision
		return &gone
	}
	server.Draining = server.Draining || (restored && known.Draining)
	next := entered(server, now)
	if known.Draining && next.Draining {
		next.LeavingSince = known.LeavingSince
	}
	return next
}

// markGone notes that a server's entry has vanished from the directory at a revision.
func markGone(directory map[string]*Server, id string, revision era.Revision, now time.Time) {
	known := directory[id]
	if known == nil || known.Gone {
		return
	}
	gone := *known
	gone.Gone, gone.Revision = true, max(gone.Revision, revision)
	if gone.LeavingSince.IsZero() {
		gone.LeavingSince = now
	}
	directory[id] = &gone
}

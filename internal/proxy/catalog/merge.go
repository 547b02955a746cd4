package catalog

import (
	"time"

	"dewknot/internal/base/era"
)

// mergeServer applies a server's entry unless it is older than the known one.
func mergeServer(directory map[string]*Server, server Server, now time.Time) {
	previous := directory[server.ID]
	switch {
	case server.Unreadable:
		// Another program may have written it. The server's own next entry replaces it.
	case previous == nil || server.Incarnation > previous.Incarnation:
		// A new or restarted server takes over nothing from an earlier incarnation.
		directory[server.ID] = newEntry(server, now)
	case server.Incarnation < previous.Incarnation:
		// The entry is of an earlier incarnation, or was written by another program.
	case server.Revision < previous.Revision:
	default:
		directory[server.ID] = updatedEntry(previous, server, now)
	}
}

// newEntry returns the first entry of a server's incarnation.
func newEntry(server Server, now time.Time) *Server {
	server.Gone, server.LeavingSince = false, time.Time{}
	if server.Draining {
		server.LeavingSince = now
	}
	return &server
}

// updatedEntry returns a later entry of the same incarnation. It keeps the start of an ongoing
// drain. A store that was restored from an older copy reports past states: a server that is gone
// stays so until its entry changes, and a draining server stays draining.
func updatedEntry(previous *Server, server Server, now time.Time) *Server {
	restored := server.Revision.Era() > previous.Revision.Era()
	if restored && previous.Gone {
		gone := *previous
		gone.Revision = server.Revision
		return &gone
	}
	server.Draining = server.Draining || (restored && previous.Draining)
	next := newEntry(server, now)
	if previous.Draining && next.Draining {
		next.LeavingSince = previous.LeavingSince
	}
	return next
}

// markGone marks a server as gone because the directory lacks its entry as of a revision.
func markGone(directory map[string]*Server, id string, revision era.Revision, now time.Time) {
	previous := directory[id]
	if previous == nil || previous.Gone {
		return
	}
	gone := *previous
	gone.Gone, gone.Revision = true, max(gone.Revision, revision)
	if gone.LeavingSince.IsZero() {
		gone.LeavingSince = now
	}
	directory[id] = &gone
}

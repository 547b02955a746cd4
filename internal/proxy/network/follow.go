package network

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dewknot/internal/base/era"
	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/objectstore"
)

// The wait of a watch as a share of the time within which a change must be in force. The rest is
// reserved for detecting a lost watch. A reader waits less, because other nodes learn of a change
// only from the reader.
const (
	watchWaitShare       = 0.55
	readerWatchWaitShare = 0.4
)

// Follow starts the watches of the configuration, the directory and the evacuations, the membership
// loop, and the loading of this node's leases.
func (n *Network) Follow(ctx context.Context) {
	kinds := n.options.Kinds
	bounds := map[string]time.Duration{kinds.Configuration: n.options.ConfigurationBound, kinds.Servers: n.options.DrainBound}
	if n.options.EvacuationBound > 0 {
		bounds[kinds.Evacuations] = n.options.EvacuationBound
	}
	for kind, bound := range bounds {
		var onAnswer func(time.Time)
		if kind == kinds.Configuration {
			onAnswer = n.recordConfigurationAnswer
		}
		go objectstore.Follow(ctx, objectstore.FollowConfig{
			Store: n.ports.Store, Peers: &peerSource{n}, Readers: &storeReaders{node: n, bound: bound, timeout: MemberAnswerTimeout},
			Kind: kind, Wait: func() time.Duration { return n.watchWait(bound) }, Sink: n.caches[kind], OnAnswer: onAnswer,
		})
	}
	go n.maintainMembership(ctx)
	go n.delegate.LoadLeases(ctx)
}

// evacuationSink applies the list of evacuated zones.
type evacuationSink struct{ *Network }

// evacuationGrace is how long zones stay evacuated after the store was restored from an older copy
// that does not list them. It gives the operator time to write the lost objects again.
const evacuationGrace = 10 * time.Second

// Confirmed implements objectstore.Sink.
func (s *evacuationSink) Confirmed(time.Time) {}

// Reset implements objectstore.Sink.
func (s *evacuationSink) Reset([]objectstore.Object, era.Revision) { s.applyZones() }

// Apply implements objectstore.Sink.
func (s *evacuationSink) Apply(events []objectstore.Object, _ era.Revision) {
	if len(events) > 0 {
		s.applyZones()
	}
}

// applyZones applies the cached list of evacuated zones.
func (s *evacuationSink) applyZones() {
	objects, _, err := s.caches[s.options.Kinds.Evacuations].List()
	if err != nil {
		return
	}
	var zones []string
	for _, object := range objects {
		zones = append(zones, object.Name)
	}
	if remaining := s.remainingGrace(); remaining > 0 {
		for zone := range s.Catalog.Current().Evacuated {
			zones = append(zones, zone)
		}
		time.AfterFunc(remaining, s.applyZones)
	}
	if s.Catalog.SetEvacuatedZones(zones, time.Now()) {
		s.Log.Write(eventlog.ZonesEvacuated, zap.Strings("zones", zones))
	}
}

// remainingGrace returns how much longer evacuations missing from the store stay in force.
func (s *evacuationSink) remainingGrace() time.Duration {
	restored := s.restoredAt.Load()
	if restored == 0 {
		return 0
	}
	return evacuationGrace - time.Since(s.Started.Add(time.Duration(restored)))
}

// Lost implements objectstore.Sink.
func (s *evacuationSink) Lost(err error) {
	s.Log.Write(eventlog.StoreLost, zap.String("watch", "evacuations"), zap.Error(err))
}

// Regained implements objectstore.Sink.
func (s *evacuationSink) Regained() {
	s.Log.Write(eventlog.StoreRegained, zap.String("watch", "evacuations"))
}

// configurationSink applies versions of the configuration.
type configurationSink struct{ *Network }

// Confirmed implements objectstore.Sink.
func (s *configurationSink) Confirmed(time.Time) {
	s.adoptNewestOnce.Do(func() { go s.adoptNewestConfiguration() })
}

// Reset implements objectstore.Sink.
func (s *configurationSink) Reset(objects []objectstore.Object, revision era.Revision) {
	s.Apply(objects, revision)
}

// Apply implements objectstore.Sink.
func (s *configurationSink) Apply(objects []objectstore.Object, _ era.Revision) {
	for _, object := range objects {
		if object.Deleted {
			continue
		}
		if name := s.options.Kinds.ConfigurationName; name != "" && object.Name != name {
			s.RefuseEntry(s.options.Kinds.Configuration, &object, &objectstore.EntryError{
				Kind: s.options.Kinds.Configuration, Name: object.Name, Reason: "the configuration has another name",
			})
			continue
		}
		configuration, err := s.ports.Decoder.Configuration(object.Content)
		if err != nil {
			s.Log.Write(eventlog.ConfigurationRefused, zap.String("object", object.Name), zap.Stringer("revision", object.Revision), zap.Error(err))
			continue
		}
		if s.Catalog.ApplyConfiguration(configuration) {
			s.Log.Write(eventlog.ConfigurationApplied, zap.Uint64("version", configuration.Version),
				zap.Stringer("revision", object.Revision), zap.Int("routes", len(configuration.Routes)))
		}
	}
}

// Lost implements objectstore.Sink.
func (s *configurationSink) Lost(err error) {
	s.storeDown.Store(true)
	s.Log.Write(eventlog.StoreLost, zap.String("watch", "configuration"), zap.Error(err))
}

// Regained implements objectstore.Sink.
func (s *configurationSink) Regained() {
	s.storeDown.Store(false)
	s.Log.Write(eventlog.StoreRegained, zap.String("watch", "configuration"))
}

// directorySink applies the directory of servers.
type directorySink struct{ *Network }

// Confirmed implements objectstore.Sink.
func (s *directorySink) Confirmed(time.Time) {}

// Reset implements objectstore.Sink.
func (s *directorySink) Reset(objects []objectstore.Object, revision era.Revision) {
	servers := s.decodeAll(objects)
	s.Catalog.ReplaceDirectory(servers, revision, time.Now())
	readable := slices.DeleteFunc(servers, func(server catalog.Server) bool { return server.Unreadable })
	s.Log.Write(eventlog.DirectoryListed, zap.Int("servers", len(readable)))
}

// Apply implements objectstore.Sink.
func (s *directorySink) Apply(events []objectstore.Object, _ era.Revision) {
	changes := make([]catalog.Server, 0, len(events))
	for _, event := range events {
		if event.Deleted {
			s.Log.Write(eventlog.ServerGone, zap.String("server", event.Name), zap.Stringer("revision", event.Revision))
			changes = append(changes, catalog.Server{ID: event.Name, Gone: true, Revision: event.Revision})
			continue
		}
		server := s.decode(event)
		changes = append(changes, server)
		if server.Unreadable || server.Gone {
			continue
		}
		s.Log.Write(eventlog.ServerChanged, zap.String("server", server.ID), zap.String("service", server.Service),
			zap.Stringer("role", server.Role), zap.Bool("draining", server.Draining), zap.Stringer("revision", server.Revision))
	}
	s.Catalog.MergeDirectory(changes, time.Now())
}

// decodeAll returns the servers of a listing.
func (s *directorySink) decodeAll(objects []objectstore.Object) []catalog.Server {
	servers := make([]catalog.Server, 0, len(objects))
	for _, object := range objects {
		if server := s.decode(object); !server.Gone {
			servers = append(servers, server)
		}
	}
	return servers
}

// decode returns the server of an entry. If the entry can't be read, the server is unreadable, or
// gone if it takes no new work.
func (s *directorySink) decode(object objectstore.Object) catalog.Server {
	server, err := s.ports.Decoder.Server(object)
	if err == nil {
		return server
	}
	s.RefuseEntry(s.options.Kinds.Servers, &object, err)
	var entryErr *objectstore.EntryError
	notReady := errors.As(err, &entryErr) && entryErr.NotReady
	return catalog.Server{ID: object.Name, Revision: object.Revision, Gone: notReady, Unreadable: !notReady}
}

// Lost implements objectstore.Sink.
func (s *directorySink) Lost(err error) {
	s.Log.Write(eventlog.StoreLost, zap.String("watch", "directory"), zap.Error(err))
}

// Regained implements objectstore.Sink.
func (s *directorySink) Regained() {
	s.Log.Write(eventlog.StoreRegained, zap.String("watch", "directory"))
}

// maxLoggedName limits the length of an entry's name in the log.
const maxLoggedName = 100

// RefuseEntry logs and counts an unreadable entry, once for each of its revisions.
func (n *Network) RefuseEntry(kind string, object *objectstore.Object, reason error) {
	if !n.refusedEntries.First(kind, object) {
		return
	}
	if counter := n.ports.EntriesRefused; counter != nil {
		counter.WithLabelValues(kind).Inc()
	}
	n.Log.Write(eventlog.EntryRefused, zap.String("kind", kind), zap.String("entry", fmt.Sprintf("%.*s", maxLoggedName, object.Name)),
		zap.Stringer("revision", object.Revision), zap.Error(reason))
}

package proxy

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/catalog"
	"dewknot/internal/eventlog"
	"dewknot/internal/failover"
	"dewknot/internal/objectstore"
)

// watchShare is the wait of a watch as a part of the bound within which its
// changes have to be in force; the rest is for a watch that the store swallowed.
const watchShare = 0.55

// follow starts the watches on configuration and directory.
func (n *Node) follow(ctx context.Context) {
	part := func(bound time.Duration) time.Duration { return time.Duration(watchShare * float64(bound)) }
	others := &otherNodes{n}
	kinds := n.options.Kinds
	go objectstore.Follow(ctx, n.ports.Store, others, kinds.Configuration, part(n.options.ConfigurationBound), n.caches[kinds.Configuration])
	go objectstore.Follow(ctx, n.ports.Store, others, kinds.Servers, part(n.options.DrainBound), n.caches[kinds.Servers])
	go n.keepMembership(ctx)
	go n.readLeases(ctx)
}

type configurationSink struct{ *Node }

// Reset implements objectstore.Sink.
func (s *configurationSink) Reset(objects []objectstore.Object, revision uint64) {
	s.Apply(objects, revision)
}

// Apply implements objectstore.Sink.
func (s *configurationSink) Apply(objects []objectstore.Object, _ uint64) {
	for _, object := range objects {
		if object.Deleted {
			continue
		}
		configuration, err := s.ports.Decoder.Configuration(object.Content)
		if err != nil {
			s.log.Write(eventlog.ConfigurationRefused, zap.String("object", object.Name), zap.Uint64("revision", object.Revision), zap.Error(err))
			continue
		}
		if s.catalog.ApplyConfiguration(configuration) {
			s.log.Write(eventlog.ConfigurationApplied, zap.Uint64("version", configuration.Version),
				zap.Uint64("revision", object.Revision), zap.Int("routes", len(configuration.Routes)))
		}
	}
}

// Lost implements objectstore.Sink.
func (s *configurationSink) Lost(err error) {
	s.storeDown.Store(true)
	s.log.Write(eventlog.StoreLost, zap.String("watch", "configuration"), zap.Error(err))
}

// Regained implements objectstore.Sink.
func (s *configurationSink) Regained() {
	s.storeDown.Store(false)
	s.log.Write(eventlog.StoreRegained, zap.String("watch", "configuration"))
}

type directorySink struct{ *Node }

// Reset implements objectstore.Sink.
func (s *directorySink) Reset(objects []objectstore.Object, _ uint64) {
	servers := make([]catalog.Server, 0, len(objects))
	for _, object := range objects {
		if server, ok := s.decode(object); ok {
			servers = append(servers, server)
		}
	}
	s.catalog.ReplaceDirectory(servers, time.Now())
	s.log.Write(eventlog.DirectoryListed, zap.Int("servers", len(servers)))
}

// Apply implements objectstore.Sink.
func (s *directorySink) Apply(events []objectstore.Object, _ uint64) {
	now := time.Now()
	for _, event := range events {
		if event.Deleted {
			s.log.Write(eventlog.ServerGone, zap.String("server", event.Name), zap.Uint64("revision", event.Revision))
			s.catalog.RemoveServer(event.Name, now)
			continue
		}
		server, ok := s.decode(event)
		if !ok {
			continue
		}
		s.log.Write(eventlog.ServerChanged, zap.String("server", server.ID), zap.String("service", server.Service),
			zap.Stringer("role", server.Role), zap.Bool("draining", server.Draining), zap.Uint64("revision", server.Revision))
		s.catalog.MergeServer(server, now)
	}
}

func (s *directorySink) decode(object objectstore.Object) (catalog.Server, bool) {
	server, err := s.ports.Decoder.Server(object)
	if err != nil {
		s.log.Write(eventlog.ServerEntryRefused, zap.String("server", object.Name), zap.Error(err))
		return server, false
	}
	return server, true
}

// Lost implements objectstore.Sink.
func (s *directorySink) Lost(err error) {
	s.log.Write(eventlog.StoreLost, zap.String("watch", "directory"), zap.Error(err))
}

// Regained implements objectstore.Sink.
func (s *directorySink) Regained() {
	s.log.Write(eventlog.StoreRegained, zap.String("watch", "directory"))
}

// storeCallLimit bounds a call to the store.
const storeCallLimit = 1500 * time.Millisecond

// readLeases learns once, at the start, who holds the failover leases.
func (n *Node) readLeases(ctx context.Context) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, storeCallLimit)
		objects, _, err := n.ports.Store.List(limited, n.options.Kinds.Leases)
		cancel()
		if err == nil && n.catalog.Current().Configuration != nil {
			n.leasesKnown(objects)
			return
		}
		time.Sleep(time.Second)
	}
}

func (n *Node) leasesKnown(objects []objectstore.Object) {
	known := map[string]failover.LeaseKnown{}
	for _, object := range objects {
		known[object.Name] = decodeLease(object)
	}
	for name := range n.catalog.Current().Configuration.Services {
		event, found := known[name]
		if !found {
			event = failover.LeaseKnown{Missing: true}
		}
		n.service(name).submit(event)
	}
}

func decodeLease(object objectstore.Object) failover.LeaseKnown {
	event := failover.LeaseKnown{Revision: object.Revision}
	if err := json.Unmarshal(object.Content, &event.Lease); err != nil {
		// An unreadable lease is replaced at its revision.
		event.Lease = failover.Lease{}
	}
	return event
}

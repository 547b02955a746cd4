package network

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"dewknot/internal/base/era"
	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/placement"
	"dewknot/internal/base/stall"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/relay"
)

// In a large fleet only the readers list members and leases at the store, and the others list
// them at a reader: what all nodes list grows with the square of the fleet. 985 nodes that
// started at once asked the store for 2 GB, over a link of 1,000 Mbit/s, and no caller was
// served 18 s later. A node that starts finds the readers in one small object.
const (
	// sharedFrom is the size of a fleet from which that is so. The list of 128 members takes
	// 32 KB: that each lists it costs the store 4 MB, a tenth of a second at 400 Mbit/s.
	sharedFrom = 128
	// readersName names the object that tells who the readers are.
	readersName = "main"
	// listingAge is how old a reader's listing may be when it answers: a change of a primary
	// lets all nodes ask within some seconds.
	listingAge = 2 * time.Second
	// listingLimit bounds the time until a reader begins its answer: it may list itself first,
	// page by page, over two regions.
	listingLimit = 2500 * time.Millisecond
	// sharedAsked is how many readers are asked for a listing before the store is.
	sharedAsked = 3
	// listingPace spreads what nodes list at the store itself when no reader answers: 200 a
	// second, so that a list of 600 KB fills no link of 1,000 Mbit/s.
	listingPace = 5 * time.Millisecond
)

// readersObject is the content of the object that tells who the readers are.
type readersObject struct {
	// Nodes is about how many nodes the fleet has.
	Nodes   int           `json:"nodes"`
	Readers []namedMember `json:"readers"`
}

// nodesStep is the step in which the number of nodes is told, so that the object stays the same
// while single nodes come and go.
const nodesStep = 64

// namedMember is a member with its name, which its own entry does not hold.
type namedMember struct {
	Name string `json:"name"`
	Member
}

// listing is a complete list of a kind, as the store told it at a time.
type listing struct {
	objects []objectstore.Object
	sum     era.Revision
	at      time.Time
}

// listings are what a reader has listed for others. It is safe for concurrent use.
type listings struct {
	mu     sync.Mutex
	byKind map[string]*heldListing
}

// heldListing lets those who ask at the same time share one call to the store: who has the
// token uses the listing, or makes a new one.
type heldListing struct {
	token chan struct{}
	listing
}

func (l *listings) of(kind string) *heldListing {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byKind == nil {
		l.byKind = map[string]*heldListing{}
	}
	if l.byKind[kind] == nil {
		l.byKind[kind] = &heldListing{token: make(chan struct{}, 1)}
	}
	return l.byKind[kind]
}

// sharedListings are the sums of the listings that readers have told last, and the readers
// that the store named at the start. It is safe for concurrent use.
type sharedListings struct {
	mu      sync.Mutex
	sums    map[string]era.Revision
	readers []Member
	nodes   int
}

func (s *sharedListings) sum(kind string) era.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sums[kind]
}

func (s *sharedListings) told(kind string, sum era.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sums == nil {
		s.sums = map[string]era.Revision{}
	}
	s.sums[kind] = sum
}

// listedForOthers reports whether readers list a kind for others.
func (n *Network) listedForOthers(kind string) bool {
	return kind != "" && (kind == n.options.Kinds.Members || kind == n.options.Kinds.Leases)
}

// ListShared returns all objects of a kind, which may be seconds old: from a reader in a large
// fleet, else from the store.
func (n *Network) ListShared(ctx context.Context, kind string, limit time.Duration) ([]objectstore.Object, error) {
	objects, _, err := n.listShared(ctx, kind, limit, 0)
	return objects, err
}

// ListChanged is ListShared, but reports false in place of the objects if nothing has changed
// since one of both last listed the kind.
func (n *Network) ListChanged(ctx context.Context, kind string, limit time.Duration) (objects []objectstore.Object, changed bool, err error) {
	return n.listShared(ctx, kind, limit, n.shared.sum(kind))
}

func (n *Network) listShared(ctx context.Context, kind string, limit time.Duration, after era.Revision) (objects []objectstore.Object, changed bool, err error) {
	n.awaitReadersFound(firstListLimit)
	readers, reads := n.sharedReaders()
	if len(readers) == 0 || reads {
		objects, err = n.listStale(ctx, kind, limit)
		return objects, true, err
	}
	question := relay.Question{Kind: kind, Within: listingAge, After: after}
	for i := range min(sharedAsked, len(readers)) {
		answer, err := n.askPeer(ctx, readers[i].Address, question, listingLimit)
		if err != nil || answer.Failed {
			continue
		}
		if after != 0 && answer.Revision == after {
			return nil, false, nil
		}
		n.shared.told(kind, answer.Revision)
		return answer.Objects, true, nil
	}
	n.wait(ctx, rand.N(time.Duration(n.fleetSize())*listingPace))
	objects, err = n.listStale(ctx, kind, limit)
	return objects, true, err
}

// fleetSize is how many nodes the fleet has, as far as this one knows.
func (n *Network) fleetSize() int {
	n.shared.mu.Lock()
	defer n.shared.mu.Unlock()
	return max(n.KnownMembers()+1, n.shared.nodes)
}

// listStale lists a kind at the store.
func (n *Network) listStale(ctx context.Context, kind string, limit time.Duration) ([]objectstore.Object, error) {
	limited, cancel := stall.WithLimit(ctx, limit, stalledLimit)
	defer cancel()
	return n.ports.Store.ListStale(limited, kind)
}

// sharedReaders returns the readers of a large fleet, those to ask first before others, and
// whether this node is one; none in a fleet that is not large.
func (n *Network) sharedReaders() (readers []Member, reads bool) {
	if n.ports.Peers == nil || n.options.Kinds.Readers == "" {
		return nil, false
	}
	if set := n.readers(); set != nil {
		if len(*set.members)+1 < sharedFrom {
			return nil, false
		}
		return set.others, set.reads
	}
	if n.Members.Load() != nil {
		return nil, false
	}
	n.shared.mu.Lock()
	defer n.shared.mu.Unlock()
	reads = slices.ContainsFunc(n.shared.readers, func(m Member) bool { return m.Name == n.options.Name })
	return n.shared.readers, reads
}

// bootReaders returns the readers that the store has named to this node, while it knows no
// members; nil if there are none, or it knows some.
func (n *Network) bootReaders(wait time.Duration) *readerSet {
	n.awaitReadersFound(wait)
	if n.Members.Load() != nil {
		return nil
	}
	readers, reads := n.sharedReaders()
	if len(readers) == 0 {
		return nil
	}
	return &readerSet{others: readers, reads: reads}
}

// awaitReadersFound waits, but not for long, until it is known whether the store names readers.
func (n *Network) awaitReadersFound(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-n.readersFound:
	case <-timer.C:
	}
}

// findReaders learns from the store who the readers of a large fleet are: before this node
// knows any members.
func (n *Network) findReaders(ctx context.Context, limit time.Duration) {
	defer close(n.readersFound)
	if n.options.Kinds.Readers == "" || n.ports.Peers == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	object, err := n.ports.Store.GetStale(limited, n.options.Kinds.Readers, readersName)
	if err != nil {
		return
	}
	told, err := decodeReaders(object.Content)
	if err != nil {
		n.RefuseEntry(n.options.Kinds.Readers, &object, err)
		return
	}
	var readers []Member
	for i := range told.Readers {
		told.Readers[i].Member.Name = told.Readers[i].Name
		readers = append(readers, told.Readers[i].Member)
	}
	rand.Shuffle(len(readers), func(i, j int) { readers[i], readers[j] = readers[j], readers[i] })
	slices.SortStableFunc(readers, func(a, b Member) int {
		return cmp.Compare(n.ZoneDistance(n.options.Zone, a.Zone), n.ZoneDistance(n.options.Zone, b.Zone))
	})
	n.shared.mu.Lock()
	defer n.shared.mu.Unlock()
	n.shared.readers, n.shared.nodes = readers, told.Nodes
}

func decodeReaders(content []byte) (readersObject, error) {
	var told readersObject
	if err := json.Unmarshal(content, &told); err != nil {
		return told, &objectstore.EntryError{Kind: "readers", Name: readersName, Reason: err.Error()}
	}
	return told, nil
}

// answerListing answers a question for a listing that is not older than the question allows.
func (n *Network) answerListing(ctx context.Context, question *relay.Question) relay.Answer {
	held := n.listings.of(question.Kind)
	select {
	case held.token <- struct{}{}:
		defer func() { <-held.token }()
	case <-ctx.Done():
		return relay.Answer{Failed: true, Outcome: objectstore.NotDone}
	}
	if time.Since(held.at) > question.Within {
		began := time.Now()
		objects, err := n.listStale(ctx, question.Kind, StoreCallLimit)
		if err != nil {
			return relay.Answer{Failed: true, Outcome: objectstore.OutcomeOf(err)}
		}
		held.listing = listing{objects: objects, sum: sumOf(objects), at: began}
	}
	if held.sum == question.After {
		return relay.Answer{Revision: held.sum}
	}
	return relay.Answer{Objects: held.objects, Revision: held.sum}
}

// sumOf returns a number that differs for different listings; never 0.
func sumOf(objects []objectstore.Object) era.Revision {
	digest := xxhash.New()
	for i := range objects {
		_, _ = digest.WriteString(objects[i].Name)
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(objects[i].Revision)))
	}
	return era.Revision(max(digest.Sum64(), 1))
}

// tellReaders writes who the readers are, if that has changed, for nodes that start: the first
// reader in a ranking does so.
func (n *Network) tellReaders(ctx context.Context) {
	set := n.readers()
	if set == nil || !set.reads || len(*set.members)+1 < sharedFrom || n.options.Kinds.Readers == "" {
		return
	}
	readers := n.allReaders(set)
	if len(readers) == 0 || readers[0].Name != n.options.Name {
		return
	}
	limited, cancel := context.WithTimeout(ctx, StoreCallLimit)
	defer cancel()
	kind := n.options.Kinds.Readers
	nodes := (len(*set.members)/nodesStep + 1) * nodesStep
	content, err := json.Marshal(readersObject{Nodes: nodes, Readers: namedMembers(readers)})
	if err != nil {
		n.Log.Write(eventlog.EntryRefused, zap.String("kind", kind), zap.Error(err))
		return
	}
	object, err := n.ports.Store.Get(limited, kind, readersName)
	switch {
	case err != nil && objectstore.OutcomeOf(err) == objectstore.NotFound:
		_, err = n.ports.Store.Create(limited, kind, readersName, content)
	case err == nil && !slices.Equal(object.Content, content):
		_, err = n.ports.Store.Replace(limited, kind, readersName, object.Revision, content)
	}
	if err != nil {
		// The next look at the members tells it.
		n.Log.Write(eventlog.StoreLost, zap.String("call", "tell readers"), zap.Error(err))
	}
}

func namedMembers(members []Member) []namedMember {
	named := make([]namedMember, 0, len(members))
	for _, member := range members {
		named = append(named, namedMember{Name: member.Name, Member: member})
	}
	return named
}

// allReaders returns all readers of a set in one order for all nodes.
func (n *Network) allReaders(set *readerSet) []Member {
	var candidates []placement.Candidate
	byName := map[string]Member{}
	for _, reader := range set.all {
		candidates = append(candidates, placement.Candidate{ID: reader.Name})
		byName[reader.Name] = reader
	}
	var readers []Member
	for _, name := range placement.Rank("readers", "", candidates, len(candidates)) {
		readers = append(readers, byName[name])
	}
	return readers
}

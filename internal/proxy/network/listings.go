package network

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
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

// In a large fleet only the readers list members and leases at the store, and the other nodes
// request the lists from them. Listings by all nodes would grow with the square of the fleet's
// size and saturate the store's link when all nodes start at once. A starting node learns the
// readers from one small object.
const (
	// sharedListingMinNodes is the fleet size from which readers list for the other nodes. In
	// smaller fleets the total size of the listings is small.
	sharedListingMinNodes = 128
	// readersObjectName is the name of the object that lists the readers.
	readersObjectName = "main"
	// maxListingAge is the maximum age of a reader's listing when it answers. After a change of a
	// primary, all nodes ask within a few seconds.
	maxListingAge = 2 * time.Second
	// listingAnswerTimeout bounds the time until a reader begins its answer. The reader may first
	// have to list, page by page, in another region.
	listingAnswerTimeout = 2500 * time.Millisecond
	// maxListingReaders is the number of readers asked for a listing before the store is.
	maxListingReaders = 3
	// storeListInterval is the mean interval, over the whole fleet, between listings at the store
	// when no reader answers. It keeps the store's link from saturating.
	storeListInterval = 5 * time.Millisecond
)

// readersObject is the content of the object that lists the readers.
type readersObject struct {
	// Nodes is the number of nodes in the fleet, rounded up to nodeCountStep.
	Nodes   int           `json:"nodes"`
	Readers []namedMember `json:"readers"`
}

// nodeCountStep is the step to which the number of nodes is rounded, so that the object does not
// change when single nodes join or leave.
const nodeCountStep = 64

// namedMember is a member with its name, which Member does not encode.
type namedMember struct {
	Name string `json:"name"`
	Member
}

// listing is a complete list of a kind and the time of its call to the store.
type listing struct {
	objects  []objectstore.Object
	checksum era.Revision
	listedAt time.Time
}

// listingCache holds what a reader has listed for others. It is safe for concurrent use.
type listingCache struct {
	mu     sync.Mutex
	byKind map[string]*cachedListing
}

// cachedListing lets concurrent requests share one call to the store. Whoever holds the lock uses
// the listing or renews it.
type cachedListing struct {
	lock chan struct{}
	listing
}

func (l *listingCache) of(kind string) *cachedListing {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byKind == nil {
		l.byKind = map[string]*cachedListing{}
	}
	if l.byKind[kind] == nil {
		l.byKind[kind] = &cachedListing{lock: make(chan struct{}, 1)}
	}
	return l.byKind[kind]
}

// receivedListings holds the checksums of the listings last received from readers, and the readers
// that the store listed at the start. It is safe for concurrent use.
type receivedListings struct {
	mu        sync.Mutex
	checksums map[string]era.Revision
	readers   []Member
	nodes     int
}

func (s *receivedListings) checksum(kind string) era.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checksums[kind]
}

func (s *receivedListings) setChecksum(kind string, checksum era.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checksums == nil {
		s.checksums = map[string]era.Revision{}
	}
	s.checksums[kind] = checksum
}

// servedByReaders reports whether readers list a kind for other nodes.
func (n *Network) servedByReaders(kind string) bool {
	return kind != "" && (kind == n.options.Kinds.Members || kind == n.options.Kinds.Leases)
}

// ListShared returns all objects of a kind: from a reader in a large fleet, otherwise from the
// store. They may be seconds old.
func (n *Network) ListShared(ctx context.Context, kind string, timeout time.Duration) ([]objectstore.Object, error) {
	objects, _, err := n.listShared(ctx, kind, timeout, 0)
	return objects, err
}

// ListChanged is like ListShared but returns no objects, and changed false, if nothing has changed
// since either method last listed the kind.
func (n *Network) ListChanged(ctx context.Context, kind string, timeout time.Duration) (objects []objectstore.Object, changed bool, err error) {
	return n.listShared(ctx, kind, timeout, n.received.checksum(kind))
}

func (n *Network) listShared(ctx context.Context, kind string, timeout time.Duration, knownChecksum era.Revision) (objects []objectstore.Object, changed bool, err error) {
	n.awaitReadersLookup(firstListTimeout)
	readers, isReader := n.listingReaders()
	if len(readers) == 0 || isReader {
		objects, err = n.listStale(ctx, kind, timeout)
		return objects, true, err
	}
	request := relay.Request{Kind: kind, MaxAge: maxListingAge, After: knownChecksum}
	for i := range min(maxListingReaders, len(readers)) {
		answer, err := n.askPeer(ctx, readers[i].Address, request, listingAnswerTimeout)
		if err != nil || answer.Failed {
			continue
		}
		if knownChecksum != 0 && answer.Revision == knownChecksum {
			return nil, false, nil
		}
		n.received.setChecksum(kind, answer.Revision)
		return answer.Objects, true, nil
	}
	n.wait(ctx, rand.N(time.Duration(n.fleetSize())*storeListInterval))
	objects, err = n.listStale(ctx, kind, timeout)
	return objects, true, err
}

// fleetSize returns the number of nodes in the fleet, as far as this node knows it.
func (n *Network) fleetSize() int {
	n.received.mu.Lock()
	defer n.received.mu.Unlock()
	return max(n.KnownMemberCount()+1, n.received.nodes)
}

// listStale lists a kind at the store.
func (n *Network) listStale(ctx context.Context, kind string, timeout time.Duration) ([]objectstore.Object, error) {
	limited, cancel := stall.WithLimit(ctx, timeout, stallTimeout)
	defer cancel()
	return n.ports.Store.ListStale(limited, kind)
}

// listingReaders returns the readers of a large fleet in the order in which to ask them, and
// whether this node is one. There are none in a smaller fleet.
func (n *Network) listingReaders() (readers []Member, isReader bool) {
	if n.ports.Peers == nil || n.options.Kinds.Readers == "" {
		return nil, false
	}
	if set := n.readers(); set != nil {
		if len(*set.members)+1 < sharedListingMinNodes {
			return nil, false
		}
		return set.others, set.isReader
	}
	if n.Members.Load() != nil {
		return nil, false
	}
	n.received.mu.Lock()
	defer n.received.mu.Unlock()
	isReader = slices.ContainsFunc(n.received.readers, func(m Member) bool { return m.Name == n.options.Name })
	return n.received.readers, isReader
}

// startupReaders returns the readers listed by the store while this node knows no members. It
// returns nil if there are none or if members are known.
func (n *Network) startupReaders(wait time.Duration) *readerSet {
	n.awaitReadersLookup(wait)
	if n.Members.Load() != nil {
		return nil
	}
	readers, isReader := n.listingReaders()
	if len(readers) == 0 {
		return nil
	}
	return &readerSet{others: readers, isReader: isReader}
}

// awaitReadersLookup waits for the store's list of readers, at most for wait.
func (n *Network) awaitReadersLookup(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-n.readersLookupDone:
	case <-timer.C:
	}
}

// lookUpReaders reads the readers of a large fleet from the store, before any members are known.
func (n *Network) lookUpReaders(ctx context.Context, timeout time.Duration) {
	defer close(n.readersLookupDone)
	if n.options.Kinds.Readers == "" || n.ports.Peers == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	object, err := n.ports.Store.GetStale(limited, n.options.Kinds.Readers, readersObjectName)
	if err != nil {
		return
	}
	content, err := decodeReaders(object.Content)
	if err != nil {
		n.RefuseEntry(n.options.Kinds.Readers, &object, err)
		return
	}
	var readers []Member
	for i := range content.Readers {
		content.Readers[i].Member.Name = content.Readers[i].Name
		readers = append(readers, content.Readers[i].Member)
	}
	rand.Shuffle(len(readers), func(i, j int) { readers[i], readers[j] = readers[j], readers[i] })
	slices.SortStableFunc(readers, func(a, b Member) int {
		return cmp.Compare(n.ZoneDistance(n.options.Zone, a.Zone), n.ZoneDistance(n.options.Zone, b.Zone))
	})
	n.received.mu.Lock()
	defer n.received.mu.Unlock()
	n.received.readers, n.received.nodes = readers, content.Nodes
}

func decodeReaders(content []byte) (readersObject, error) {
	var decoded readersObject
	reason := ""
	if err := json.Unmarshal(content, &decoded); err != nil {
		reason = err.Error()
	} else {
		reason = decoded.invalidReason()
	}
	if reason != "" {
		return readersObject{}, &objectstore.EntryError{Kind: "readers", Name: readersObjectName, Reason: reason}
	}
	return decoded, nil
}

// maxFleetNodes limits the number of nodes that the object may state. Pauses grow with it.
const maxFleetNodes = 1 << 16

// invalidReason returns why the object can't be used, or "" if it can.
func (r *readersObject) invalidReason() string {
	if r.Nodes < 0 || r.Nodes > maxFleetNodes {
		return "its number of nodes is out of range: " + strconv.Itoa(r.Nodes)
	}
	if slices.ContainsFunc(r.Readers, func(m namedMember) bool { return m.Name == "" || m.Address == "" }) {
		return "a reader has no name or no address"
	}
	return ""
}

// answerListing answers a request for a listing whose age is limited by MaxAge. It lists at the
// store if the cached listing is older.
func (n *Network) answerListing(ctx context.Context, request *relay.Request) relay.Answer {
	cached := n.listingCache.of(request.Kind)
	select {
	case cached.lock <- struct{}{}:
		defer func() { <-cached.lock }()
	case <-ctx.Done():
		return relay.Answer{Failed: true, Outcome: objectstore.NotDone}
	}
	if time.Since(cached.listedAt) > request.MaxAge {
		began := time.Now()
		objects, err := n.listStale(ctx, request.Kind, StoreCallTimeout)
		if err != nil {
			return relay.Answer{Failed: true, Outcome: objectstore.OutcomeOf(err)}
		}
		cached.listing = listing{objects: objects, checksum: checksumOf(objects), listedAt: began}
	}
	if cached.checksum == request.After {
		return relay.Answer{Revision: cached.checksum}
	}
	return relay.Answer{Objects: cached.objects, Revision: cached.checksum}
}

// checksumOf returns a checksum of the names and revisions in a listing. It is never 0.
func checksumOf(objects []objectstore.Object) era.Revision {
	digest := xxhash.New()
	for i := range objects {
		_, _ = digest.WriteString(objects[i].Name)
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(objects[i].Revision)))
	}
	return era.Revision(max(digest.Sum64(), 1))
}

// publishReaders writes the list of readers for starting nodes if it has changed. Only the first
// reader in the ranking does so.
func (n *Network) publishReaders(ctx context.Context) {
	set := n.readers()
	if set == nil || !set.isReader || len(*set.members)+1 < sharedListingMinNodes || n.options.Kinds.Readers == "" {
		return
	}
	readers := n.rankedReaders(set)
	if len(readers) == 0 || readers[0].Name != n.options.Name {
		return
	}
	limited, cancel := context.WithTimeout(ctx, StoreCallTimeout)
	defer cancel()
	kind := n.options.Kinds.Readers
	nodes := (len(*set.members)/nodeCountStep + 1) * nodeCountStep
	content, err := json.Marshal(readersObject{Nodes: nodes, Readers: namedMembers(readers)})
	if err != nil {
		n.Log.Write(eventlog.EntryRefused, zap.String("kind", kind), zap.Error(err))
		return
	}
	object, err := n.ports.Store.Get(limited, kind, readersObjectName)
	switch {
	case err != nil && objectstore.OutcomeOf(err) == objectstore.NotFound:
		_, err = n.ports.Store.Create(limited, kind, readersObjectName, content)
	case err == nil && !slices.Equal(object.Content, content):
		_, err = n.ports.Store.Replace(limited, kind, readersObjectName, object.Revision, content)
	}
	if err != nil {
		// The next poll of the members retries.
		n.Log.Write(eventlog.StoreLost, zap.String("call", "publish readers"), zap.Error(err))
	}
}

func namedMembers(members []Member) []namedMember {
	named := make([]namedMember, 0, len(members))
	for _, member := range members {
		named = append(named, namedMember{Name: member.Name, Member: member})
	}
	return named
}

// rankedReaders returns all readers of a set in an order that is the same on all nodes.
func (n *Network) rankedReaders(set *readerSet) []Member {
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

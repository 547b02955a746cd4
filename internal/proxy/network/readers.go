package network

import (
	"context"
	"sync"
	"time"

	"dewknot/internal/base/era"
	"dewknot/internal/base/placement"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/relay"
)

const (
	// readersMinNodes is the size of a fleet from which only the readers watch the store. In a
	// smaller fleet every node does, which saves a round trip per change.
	readersMinNodes = 16
	// readersPerZone is the number of readers in each zone, or one in a zone of less than
	// twoReadersMinNodes nodes. A node prefers readers of its own zone, since changes may be
	// large and traffic between zones is expensive.
	readersPerZone     = 2
	twoReadersMinNodes = 8
	// twoReadersMinNodesManyZones replaces twoReadersMinNodes if there are more than
	// maxWatchReaders zones. It limits the number of watches of the store.
	twoReadersMinNodesManyZones = 16
	// maxWatchReaders is the number of readers that a node tries before it asks the store. Two
	// consecutive readers may hang without delaying a change beyond its bound.
	maxWatchReaders = 5
	// maxListReaders is the number of readers tried in a round of requests for a listing.
	// readerListTimeout bounds the time until each begins its answer: a few round trips within a
	// region, so that unreachable readers cost little.
	maxListReaders    = 2
	readerListTimeout = 60 * time.Millisecond
	// firstStartListRounds is the number of rounds during the first start of a fleet, with a mean
	// delay of listRoundDelay in between. They last until well after secondMembersPollDelay,
	// because the first list of members may be incomplete and name nodes that are not readers.
	firstStartListRounds = 20
	listRoundDelay       = 200 * time.Millisecond
	// restartListRounds is the number of rounds in which a node that starts in a large fleet asks
	// readers, each of which may wait restartListWait for its own listing. Listings by all nodes
	// at once would saturate the store's link.
	restartListRounds = 3
	restartListWait   = 1500 * time.Millisecond
	// readersLookupWait is how long a starting node waits for the store's list of readers. It
	// allows for a connection and a call between regions.
	readersLookupWait = 200 * time.Millisecond
	// membersListWait is how long a starting node waits for the list of members, from which it
	// computes the readers. A healthy store delivers the list within this time.
	membersListWait = 30 * time.Millisecond
	// readerWaitShare is the wait of a watch at a reader as a share of the bound.
	readerWaitShare = 0.3
	// maxReaderTimeout bounds the timeout of a reader's answer.
	maxReaderTimeout = 1600 * time.Millisecond
	// readerAgeSlack is how much older than its watch's wait a reader's state may be.
	readerAgeSlack = time.Second
)

// readerSet holds the nodes that watch the store, computed from a list of members.
type readerSet struct {
	members *[]Member
	// isReader reports whether this node is one of them.
	isReader bool
	// others are the other readers in the order in which this node asks them.
	others []Member
	// all are all readers, including this node if it is one.
	all []Member
}

// readers returns the current readers, or nil if all nodes watch the store.
func (n *Network) readers() *readerSet {
	members := n.Members.Load()
	if members == nil || n.ports.Peers == nil || len(*members)+1 < readersMinNodes {
		return nil
	}
	if cached := n.readerSet.Load(); cached != nil && cached.members == members {
		return cached
	}
	set := n.chooseReaders(members)
	n.readerSet.Store(set)
	return set
}

// chooseReaders ranks the nodes of each zone and chooses the readers. This node asks those of its
// own zone first, then those of its region, then the rest. The order within each group depends on
// this node's name, which spreads the load over the readers.
func (n *Network) chooseReaders(members *[]Member) *readerSet {
	set := &readerSet{members: members}
	byZone := map[string][]Member{n.options.Zone: {n.OwnMember()}}
	byName := map[string]Member{n.options.Name: n.OwnMember()}
	for _, member := range *members {
		byZone[member.Zone] = append(byZone[member.Zone], member)
		byName[member.Name] = member
	}
	tiers := make([][]placement.Candidate, 3)
	for zone, nodes := range byZone {
		for _, name := range rankReaders(nodes, readerCount(len(nodes), len(byZone))) {
			set.all = append(set.all, byName[name])
			if name == n.options.Name {
				set.isReader = true
				continue
			}
			tier := n.ZoneDistance(n.options.Zone, zone)
			tiers[tier] = append(tiers[tier], placement.Candidate{ID: name})
		}
	}
	for _, tier := range tiers {
		for _, name := range placement.Rank(n.options.Name, "", tier, maxWatchReaders) {
			if len(set.others) < maxWatchReaders {
				set.others = append(set.others, byName[name])
			}
		}
	}
	return set
}

// rankReaders chooses the readers among the nodes of a zone. Nodes with fast links come first,
// because a reader sends what it gets from the store to all nodes of its zone: 82 nodes that start
// together would wait 8 s for 240 KB each on a reader's link of 20 Mbit/s.
func rankReaders(nodes []Member, count int) []string {
	best := 0.0
	for i := range nodes {
		best = max(best, nodes[i].Capacity.LinkMbps)
	}
	var fast, rest []placement.Candidate
	for i := range nodes {
		if nodes[i].Capacity.LinkMbps >= best/2 {
			fast = append(fast, placement.Candidate{ID: nodes[i].Name})
			continue
		}
		rest = append(rest, placement.Candidate{ID: nodes[i].Name})
	}
	ranked := placement.Rank("store readers", "", fast, count)
	return append(ranked, placement.Rank("store readers", "", rest, count-len(ranked))...)
}

// readerCount returns the number of readers in a zone with the given number of nodes.
func readerCount(nodes, zones int) int {
	threshold := twoReadersMinNodes
	if zones > maxWatchReaders {
		threshold = twoReadersMinNodesManyZones
	}
	if nodes < threshold {
		return 1
	}
	return readersPerZone
}

// ZoneDistance returns 0 for the same zone, 1 for another zone of the same region, 2 otherwise.
func (n *Network) ZoneDistance(from, to string) int {
	switch {
	case from == to:
		return 0
	case n.options.Regions[from] == n.options.Regions[to]:
		return 1
	default:
		return 2
	}
}

// watchWait returns how long a watch of the store waits. If there are readers it is shorter, since
// a change has to reach the other nodes too.
func (n *Network) watchWait(bound time.Duration) time.Duration {
	share := watchWaitShare
	if n.readers() != nil {
		share = readerWatchWaitShare
	}
	return time.Duration(share * float64(bound))
}

// storeReaders requests objects of one kind from the readers. It implements
// objectstore.ReaderSource.
type storeReaders struct {
	node  *Network
	bound time.Duration

	mu sync.Mutex
	// skipped counts the readers, in this node's order, that have failed.
	skipped int
	// timeout bounds the time until a reader's answer begins. It doubles when all readers have
	// failed, since this node's own link may be saturated.
	timeout time.Duration
}

var errNoReader = &objectstore.Error{Outcome: objectstore.NotDone, Detail: "no reader of the store is up to date"}

// List implements objectstore.ReaderSource. It tries few readers, with short timeouts, because
// after an outage of all nodes no reader may know anything.
func (s *storeReaders) List(ctx context.Context, kind string) ([]objectstore.Object, era.Revision, error) {
	began := time.Now()
	startup := s.node.startupReaders(readersLookupWait)
	s.node.AwaitMembers(began.Add(membersListWait))
	rounds, wait := 1, time.Duration(0)
	if startup != nil || s.node.KnownMemberCount()+1 >= sharedListingMinNodes {
		// A reader that is starting too answers once it has listed.
		rounds, wait = restartListRounds, restartListWait
	}
	if s.node.absentFromFirstList.Load() || s.node.options.FirstStart {
		// No clients wait during the first start of a fleet, and its readers need time to list.
		s.node.awaitMembersSettled(ctx)
		rounds = firstStartListRounds
	}
	request := relay.Request{Kind: kind, Wait: wait, MaxAge: s.node.watchWait(s.bound) + readerAgeSlack}
	for round := range rounds {
		if round > 0 {
			s.node.waitJittered(ctx, listRoundDelay)
		}
		// The members may have been polled in the meantime, which improves the choice of readers.
		set := s.node.readers()
		if set == nil {
			set = startup
		}
		if set == nil || set.isReader {
			return nil, 0, errNoReader
		}
		for range min(maxListReaders, len(set.others)) {
			answer, err := s.node.askObjects(ctx, s.current(set.others).Address, request, readerListTimeout)
			if err == nil && !answer.Failed {
				return answer.Objects, answer.Revision, nil
			}
			s.skipCurrent()
		}
	}
	return nil, 0, errNoReader
}

// Watch implements objectstore.ReaderSource. It continues with the reader that answered last and
// tries each of the others once if that one fails.
func (s *storeReaders) Watch(ctx context.Context, kind string, after era.Revision) ([]objectstore.Object, era.Revision, error) {
	s.node.awaitMembersSettled(ctx)
	set := s.node.readers()
	if set == nil || set.isReader {
		return nil, 0, errNoReader
	}
	wait := time.Duration(readerWaitShare * float64(s.bound))
	request := relay.Request{Kind: kind, Changes: true, After: after, Wait: wait, MaxAge: s.node.watchWait(s.bound) + readerAgeSlack}
	for range set.others {
		answer, err := s.ask(ctx, s.current(set.others), request)
		if err == nil && (!answer.Failed || answer.Outcome == objectstore.HistoryGone) {
			s.resetTimeout()
			return answer.Objects, answer.Revision, answerError(&answer)
		}
		s.skipCurrent()
		// The next reader answers immediately with what it knows.
		request.Wait = 0
	}
	s.extendTimeout()
	return nil, 0, errNoReader
}

func (s *storeReaders) ask(ctx context.Context, reader Member, request relay.Request) (relay.Answer, error) {
	s.mu.Lock()
	timeout := s.timeout
	s.mu.Unlock()
	return s.node.askObjects(ctx, reader.Address, request, timeout)
}

func (s *storeReaders) resetTimeout() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeout = MemberAnswerTimeout
}

func (s *storeReaders) extendTimeout() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeout = min(2*s.timeout, maxReaderTimeout)
}

func (s *storeReaders) current(readers []Member) Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return readers[s.skipped%len(readers)]
}

func (s *storeReaders) skipCurrent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipped++
}

func answerError(answer *relay.Answer) error {
	if !answer.Failed {
		return nil
	}
	return &objectstore.Error{Outcome: answer.Outcome, Detail: "reported by another node"}
}

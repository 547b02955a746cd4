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
	// readersFrom is the size of a fleet from which only some nodes watch the
	// store; of a smaller one all do, which spares a change one way.
	readersFrom = 16
	// zoneReaders is how many nodes of each zone watch the store for the others, one in a
	// zone of less than twoReadersFrom nodes. A node asks those of its own zone first,
	// since a change may be large and bytes between zones are dear.
	zoneReaders    = 2
	twoReadersFrom = 8
	// manyZonesTwoFrom is twoReadersFrom where one reader a zone makes more than a node
	// asks: two thirds of the calls of a calm day of 62 nodes were watches of twelve readers.
	manyZonesTwoFrom = 16
	// readersAsked is how many readers a node asks before it asks the store itself.
	// Two of them that stand still one after the other leave a change time within
	// its bound.
	readersAsked = 5
	// readersListed is how many readers are asked for a listing before the store is,
	// readerListLimit how long each may take to begin its answer: some round trips in a
	// region, so that a node whose readers are dark loses little.
	readersListed   = 2
	readerListLimit = 60 * time.Millisecond
	// firstListRounds is how often they are asked at the first start of a fleet, with about
	// firstListPause in between, until well after secondMemberLook: of 300 nodes many see
	// the others in part only at their first look, and ask nodes that are no readers. Two
	// thirds of them listed configuration and directory from the store with 8 rounds.
	firstListRounds = 20
	firstListPause  = 200 * time.Millisecond
	// restartRounds is how often a node that starts in a large fleet asks readers, each of which
	// may wait for its own listing for restartWait, before it lists at the store itself: after a
	// loss of all, 985 nodes that each list 1.6 MB there fill its link for 13 s.
	restartRounds = 3
	restartWait   = 1500 * time.Millisecond
	// firstReadersWait is how long a node that starts waits for the store to tell whether the
	// fleet is large, and who its readers are: a connection and a call between regions, on a
	// machine that starts slowly.
	firstReadersWait = 200 * time.Millisecond
	// firstMembersWait is how long a node that starts waits for the list of members, from
	// which it learns who the readers are: a good store has told it by then.
	firstMembersWait = 30 * time.Millisecond
	// pollShare is the wait of a question to a reader as a part of the bound.
	pollShare = 0.3
	// mostPatience bounds the wait for a reader's answer.
	mostPatience = 1600 * time.Millisecond
	// readerSlack is how long a reader's watch may take beyond its wait.
	readerSlack = time.Second
)

// readerSet are the nodes that watch the store, made for a list of members.
type readerSet struct {
	members *[]Member
	// reads is set if this node is one of them.
	reads bool
	// others are the readers in the order in which this node asks them.
	others []Member
	// all are all readers, this node too if it is one.
	all []Member
}

// readers returns the present readers; nil if all nodes watch the store.
func (n *Network) readers() *readerSet {
	members := n.Members.Load()
	if members == nil || n.ports.Peers == nil || len(*members)+1 < readersFrom {
		return nil
	}
	if known := n.readerSet.Load(); known != nil && known.members == members {
		return known
	}
	set := n.chooseReaders(members)
	n.readerSet.Store(set)
	return set
}

// chooseReaders ranks the nodes of each zone, and puts the readers in the order in
// which this node asks them: its own zone's, its region's, the rest, each shuffled
// by its name so that the nodes of a zone are spread over its readers.
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
		for _, name := range rankReaders(nodes, readersOf(len(nodes), len(byZone))) {
			set.all = append(set.all, byName[name])
			if name == n.options.Name {
				set.reads = true
				continue
			}
			tier := n.ZoneDistance(n.options.Zone, zone)
			tiers[tier] = append(tiers[tier], placement.Candidate{ID: name})
		}
	}
	for _, tier := range tiers {
		for _, name := range placement.Rank(n.options.Name, "", tier, readersAsked) {
			if len(set.others) < readersAsked {
				set.others = append(set.others, byName[name])
			}
		}
	}
	return set
}

// rankReaders chooses the readers of a zone among its nodes, those with good links first: each
// tells what the store tells it to the nodes of its zone, and 82 of them that start at once on a
// reader's link of 20 Mbit/s would wait 8 s for 240 KB each.
func rankReaders(nodes []Member, count int) []string {
	best := 0.0
	for i := range nodes {
		best = max(best, nodes[i].Capacity.LinkMbps)
	}
	var good, rest []placement.Candidate
	for i := range nodes {
		if nodes[i].Capacity.LinkMbps >= best/2 {
			good = append(good, placement.Candidate{ID: nodes[i].Name})
			continue
		}
		rest = append(rest, placement.Candidate{ID: nodes[i].Name})
	}
	ranked := placement.Rank("store readers", "", good, count)
	return append(ranked, placement.Rank("store readers", "", rest, count-len(ranked))...)
}

// readersOf is how many nodes of a zone of some nodes watch the store.
func readersOf(nodes, zones int) int {
	from := twoReadersFrom
	if zones > readersAsked {
		from = manyZonesTwoFrom
	}
	if nodes < from {
		return 1
	}
	return zoneReaders
}

// ZoneDistance is 0 for the same zone, 1 for another of its region, 2 for the rest.
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

// watchWait is how long a watch of the store waits. A reader's changes have a
// second way to go, so it waits for less.
func (n *Network) watchWait(bound time.Duration) time.Duration {
	share := watchShare
	if n.readers() != nil {
		share = readerShare
	}
	return time.Duration(share * float64(bound))
}

// storeReaders asks readers for changes of one kind. It implements
// objectstore.ReaderSource.
type storeReaders struct {
	node  *Network
	bound time.Duration

	mu sync.Mutex
	// skip is how many readers this node has given up in its order.
	skip int
	// patience is how long a reader's answer is waited for: it doubles whenever all have
	// failed, since the node's own link may be full.
	patience time.Duration
}

var errNoReader = &objectstore.Error{Outcome: objectstore.NotDone, Detail: "no reader of the store is up to date"}

// List implements objectstore.ReaderSource. Few are asked, and for a short while only: a
// node that starts after a loss of all finds nobody who knows anything.
func (s *storeReaders) List(ctx context.Context, kind string) ([]objectstore.Object, era.Revision, error) {
	began := time.Now()
	booting := s.node.bootReaders(firstReadersWait)
	s.node.AwaitMembers(began.Add(firstMembersWait))
	rounds, wait := 1, time.Duration(0)
	if booting != nil || s.node.KnownMembers()+1 >= sharedFrom {
		// A reader that starts as well lists within a second or so, and tells then.
		rounds, wait = restartRounds, restartWait
	}
	if s.node.firstStart.Load() || s.node.options.FirstStart {
		// Nobody waits for a fleet that starts for the first time, and its readers need a
		// moment to list.
		s.node.awaitSettled(ctx)
		rounds = firstListRounds
	}
	question := relay.Question{Kind: kind, Wait: wait, Within: s.node.watchWait(s.bound) + readerSlack}
	for round := range rounds {
		if round > 0 {
			s.node.waitAbout(ctx, firstListPause)
		}
		// Looks at the members meanwhile tell better who the readers are.
		set := s.node.readers()
		if set == nil {
			set = booting
		}
		if set == nil || set.reads {
			return nil, 0, errNoReader
		}
		for range min(readersListed, len(set.others)) {
			answer, err := s.node.askObjects(ctx, s.present(set.others).Address, question, readerListLimit)
			if err == nil && !answer.Failed {
				return answer.Objects, answer.Revision, nil
			}
			s.next()
		}
	}
	return nil, 0, errNoReader
}

// Watch implements objectstore.ReaderSource: it goes on with the reader that
// answered last, and asks each of the others once if that one fails.
func (s *storeReaders) Watch(ctx context.Context, kind string, after era.Revision) ([]objectstore.Object, era.Revision, error) {
	s.node.awaitSettled(ctx)
	set := s.node.readers()
	if set == nil || set.reads {
		return nil, 0, errNoReader
	}
	wait := time.Duration(pollShare * float64(s.bound))
	question := relay.Question{Kind: kind, Changes: true, After: after, Wait: wait, Within: s.node.watchWait(s.bound) + readerSlack}
	for range set.others {
		answer, err := s.ask(ctx, s.present(set.others), question)
		if err == nil && (!answer.Failed || answer.Outcome == objectstore.HistoryGone) {
			s.succeeded()
			return answer.Objects, answer.Revision, failureOf(&answer)
		}
		s.next()
		// The next one is asked at once, and what it knows now is enough.
		question.Wait = 0
	}
	s.failed()
	return nil, 0, errNoReader
}

func (s *storeReaders) ask(ctx context.Context, reader Member, question relay.Question) (relay.Answer, error) {
	s.mu.Lock()
	patience := s.patience
	s.mu.Unlock()
	return s.node.askObjects(ctx, reader.Address, question, patience)
}

func (s *storeReaders) succeeded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.patience = MemberAnswerLimit
}

func (s *storeReaders) failed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.patience = min(2*s.patience, mostPatience)
}

func (s *storeReaders) present(readers []Member) Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return readers[s.skip%len(readers)]
}

func (s *storeReaders) next() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skip++
}

func failureOf(answer *relay.Answer) error {
	if !answer.Failed {
		return nil
	}
	return &objectstore.Error{Outcome: answer.Outcome, Detail: "of a reader"}
}

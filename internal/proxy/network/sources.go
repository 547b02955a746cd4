package network

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dewknot/internal/base/era"
	"dewknot/internal/base/stall"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/relay"
)

// peerSource is the source of what other nodes know. It implements objectstore.Source.
type peerSource struct{ node *Network }

const (
	// nearSources and farSources are how many of the nearest and of the other nodes are asked. The
	// far one covers the case that a whole zone is cut off.
	nearSources = 2
	farSources  = 1
	// MemberAnswerTimeout is the timeout of other nodes' answers.
	MemberAnswerTimeout = 400 * time.Millisecond
	// stallTimeout bounds a pause within an answer. It allows for queueing on a full link, up to
	// half a second, and for a retransmission, after 0.2 s or more.
	stallTimeout = time.Second
)

// List implements objectstore.Source.
func (s *peerSource) List(ctx context.Context, kind string) ([]objectstore.Object, era.Revision, error) {
	return s.ask(ctx, relay.Request{Kind: kind})
}

// Watch implements objectstore.Source.
func (s *peerSource) Watch(ctx context.Context, kind string, after era.Revision, wait time.Duration) ([]objectstore.Object, era.Revision, error) {
	return s.ask(ctx, relay.Request{Kind: kind, Changes: true, After: after, Wait: wait})
}

// ask first asks several nodes for their revisions and then requests the objects from the most
// current one, since an answer may be a complete listing.
func (s *peerSource) ask(ctx context.Context, request relay.Request) ([]objectstore.Object, era.Revision, error) {
	s.node.AwaitMembers(time.Now().Add(MemberAnswerTimeout))
	best, found := s.newest(ctx, request.Kind)
	if !found || (request.Changes && best.Revision <= request.After) {
		return nil, 0, &objectstore.Error{Outcome: objectstore.NotDone, Detail: "no other node has a newer revision"}
	}
	answer, err := s.node.askObjects(ctx, best.From, request, MemberAnswerTimeout)
	if err != nil {
		return nil, 0, &objectstore.Error{Outcome: objectstore.NotDone, Detail: err.Error()}
	}
	return answer.Objects, answer.Revision, answerError(&answer)
}

// sources returns the nodes to ask, nearest first: listings are large, and traffic between regions
// is expensive.
func (n *Network) sources() []Member {
	members := n.RandomMembers(math.MaxInt)
	slices.SortStableFunc(members, func(a, b Member) int {
		return cmp.Compare(n.ZoneDistance(n.options.Zone, a.Zone), n.ZoneDistance(n.options.Zone, b.Zone))
	})
	if len(members) <= nearSources+farSources {
		return members
	}
	far := members[nearSources+rand.IntN(len(members)-nearSources)]
	return append(members[:nearSources:nearSources], far)
}

// newest returns the answer of the node with the highest revision of a kind, and of the nearest
// among equals.
func (s *peerSource) newest(ctx context.Context, kind string) (MemberAnswer, bool) {
	limited, cancel := context.WithTimeout(ctx, MemberAnswerTimeout)
	defer cancel()
	sources := s.node.sources()
	answers := s.node.collectAnswers(limited, sources, relay.Request{Kind: kind, RevisionOnly: true}, answerGrace)
	var best MemberAnswer
	found := false
	for _, source := range sources {
		for _, answer := range answers {
			if answer.From == source.Address && !answer.Failed && (!found || answer.Revision > best.Revision) {
				best, found = answer, true
			}
		}
	}
	return best, found
}

// askObjects requests objects from another node. The timeout bounds the time until the answer
// begins, in addition to the request's wait. Large objects arrive as patches if this node has
// the base version, otherwise in pieces.
func (n *Network) askObjects(ctx context.Context, address string, request relay.Request, timeout time.Duration) (relay.Answer, error) {
	request.AcceptPatches, request.AcceptPieces = request.Changes, true
	answer, err := n.askPeer(ctx, address, request, request.Wait+timeout)
	if err != nil {
		return answer, err
	}
	if !answer.Failed {
		n.store.LearnEra(answer.Revision.Era())
	}
	expanded, err := n.caches[request.Kind].ApplyPatches(answer.Patched)
	if err != nil {
		request.AcceptPatches, request.Wait = false, 0
		if answer, err = n.askPeer(ctx, address, request, timeout); err != nil {
			return answer, err
		}
	}
	answer.Objects = append(answer.Objects, expanded...)
	for i := range answer.Large {
		object, err := n.transfers.fetch(ctx, address, request.Kind, &answer.Large[i])
		if err != nil {
			return answer, err
		}
		answer.Objects = append(answer.Objects, object)
	}
	slices.SortFunc(answer.Objects, func(a, b objectstore.Object) int { return cmp.Compare(a.Revision, b.Revision) })
	return answer, nil
}

// askPeer sends a request to another node. The answer must begin within the timeout and may take
// longer as long as it makes progress.
func (n *Network) askPeer(ctx context.Context, address string, request relay.Request, timeout time.Duration) (relay.Answer, error) {
	limited, cancel := stall.WithLimit(ctx, timeout, stallTimeout)
	defer cancel()
	answer, err := n.ports.Peers.Ask(limited, address, request)
	if ctx.Err() == nil {
		n.recordPeerAnswer(address, err)
	}
	return answer, err
}

// Answer implements relay.Handler.
func (n *Network) Answer(ctx context.Context, request relay.Request) relay.Answer {
	if request.Server != "" && request.StepDown {
		return n.answerStepDown(request.Server)
	}
	if request.Server != "" {
		return relay.Answer{Reached: n.delegate.Reaches(request.Server)}
	}
	if request.MaxAge > 0 && n.servedByReaders(request.Kind) {
		return n.answerListing(ctx, &request)
	}
	if request.Kind != "" && request.Kind == n.options.Kinds.Members {
		return n.answerMembers(request.RevisionOnly)
	}
	cache := n.caches[request.Kind]
	if cache == nil {
		return relay.Answer{Failed: true, Outcome: objectstore.NotFound}
	}
	answer, err := answerFromCache(ctx, cache, &request)
	if err != nil {
		return relay.Answer{Failed: true, Outcome: objectstore.OutcomeOf(err)}
	}
	if known := n.Catalog.Current().Configuration; request.RevisionOnly && request.Kind == n.options.Kinds.Configuration && known != nil {
		answer.Version = known.Version
	}
	if request.MaxAge > 0 && cache.Age() > request.MaxAge {
		return relay.Answer{Failed: true, Outcome: objectstore.NotDone}
	}
	return answer
}

// answerStepDown demotes a server on behalf of another node.
func (n *Network) answerStepDown(server string) relay.Answer {
	status := n.delegate.Demote(server)
	if status == nil {
		return relay.Answer{}
	}
	return relay.Answer{Reached: true, Received: status.Received}
}

// answerFromCache answers a request for objects from this node's cache.
func answerFromCache(ctx context.Context, cache *objectstore.Cache, request *relay.Request) (relay.Answer, error) {
	var answer relay.Answer
	var err error
	switch {
	case request.Piece != nil:
		answer.Piece, err = cache.Piece(request.Piece.Object, request.Piece.Revision, request.Piece.Offset)
	case request.RevisionOnly:
		answer.Revision, err = cache.Revision()
	case request.Changes:
		answer.Objects, answer.Revision, err = cache.Watch(ctx, request.After, request.Wait)
		if request.AcceptPatches {
			answer.Objects, answer.Patched = cache.MakePatches(answer.Objects, request.After)
		}
	default:
		cache.AwaitListed(ctx, request.Wait)
		answer.Objects, answer.Revision, err = cache.List()
	}
	if request.AcceptPieces {
		answer.Objects, answer.Large = cache.SplitLarge(answer.Objects)
	}
	return answer, err
}

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

// otherNodes is the source of what other nodes know.
type otherNodes struct{ node *Network }

const (
	// nearSources is how many of the nearest nodes are asked for what they know, and
	// farSources how many of any: a zone may be cut off as a whole.
	nearSources = 2
	farSources  = 1
	// MemberAnswerLimit bounds the wait for other nodes' answers.
	MemberAnswerLimit = 400 * time.Millisecond
	// stalledLimit is how long an answer that has begun may stand still: packets wait up
	// to half a second on a full link, and one that is lost is sent again after 0.2 s or more.
	stalledLimit = time.Second
)

// List implements objectstore.Source.
func (o *otherNodes) List(ctx context.Context, kind string) ([]objectstore.Object, era.Revision, error) {
	return o.ask(ctx, relay.Question{Kind: kind})
}

// Watch implements objectstore.Source.
func (o *otherNodes) Watch(ctx context.Context, kind string, after era.Revision, wait time.Duration) ([]objectstore.Object, era.Revision, error) {
	return o.ask(ctx, relay.Question{Kind: kind, Changes: true, After: after, Wait: wait})
}

// ask asks some nodes how much they know, and the one that knows most for it: an
// answer may be a whole listing, of which one is enough.
func (o *otherNodes) ask(ctx context.Context, question relay.Question) ([]objectstore.Object, era.Revision, error) {
	o.node.AwaitMembers(time.Now().Add(MemberAnswerLimit))
	best, found := o.newest(ctx, question.Kind)
	if !found || (question.Changes && best.Revision <= question.After) {
		return nil, 0, &objectstore.Error{Outcome: objectstore.NotDone, Detail: "no other node knows more"}
	}
	answer, err := o.node.askObjects(ctx, best.From, question, MemberAnswerLimit)
	if err != nil {
		return nil, 0, &objectstore.Error{Outcome: objectstore.NotDone, Detail: err.Error()}
	}
	return answer.Objects, answer.Revision, failureOf(&answer)
}

// sources returns the nodes to ask, nearest first: listings are large, and bytes
// between regions are dear.
func (n *Network) sources() []Member {
	members := n.SomeMembers(math.MaxInt)
	slices.SortStableFunc(members, func(a, b Member) int {
		return cmp.Compare(n.ZoneDistance(n.options.Zone, a.Zone), n.ZoneDistance(n.options.Zone, b.Zone))
	})
	if len(members) <= nearSources+farSources {
		return members
	}
	far := members[nearSources+rand.IntN(len(members)-nearSources)]
	return append(members[:nearSources:nearSources], far)
}

// newest returns the answer of the node that knows most of a kind, the nearest of
// those that know as much.
func (o *otherNodes) newest(ctx context.Context, kind string) (MemberAnswer, bool) {
	limited, cancel := context.WithTimeout(ctx, MemberAnswerLimit)
	defer cancel()
	sources := o.node.sources()
	answers := o.node.gather(limited, sources, relay.Question{Kind: kind, Peek: true}, answerGrace)
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

// askObjects asks another node for objects; limit bounds the time until its answer
// begins, beyond the question's wait. Large objects come as patches of what this node
// has, where it has what the other one believes, or else in pieces.
func (n *Network) askObjects(ctx context.Context, address string, question relay.Question, limit time.Duration) (relay.Answer, error) {
	question.Patches, question.Pieces = question.Changes, true
	answer, err := n.askPeer(ctx, address, question, question.Wait+limit)
	if err != nil {
		return answer, err
	}
	if !answer.Failed {
		n.store.Learn(answer.Revision.Era())
	}
	expanded, err := n.caches[question.Kind].Expand(answer.Patched)
	if err != nil {
		question.Patches, question.Wait = false, 0
		if answer, err = n.askPeer(ctx, address, question, limit); err != nil {
			return answer, err
		}
	}
	answer.Objects = append(answer.Objects, expanded...)
	for i := range answer.Large {
		object, err := n.transfers.fetch(ctx, address, question.Kind, &answer.Large[i])
		if err != nil {
			return answer, err
		}
		answer.Objects = append(answer.Objects, object)
	}
	slices.SortFunc(answer.Objects, func(a, b objectstore.Object) int { return cmp.Compare(a.Revision, b.Revision) })
	return answer, nil
}

// askPeer asks another node, whose answer has to begin within a limit and takes as
// long as it goes on after that.
func (n *Network) askPeer(ctx context.Context, address string, question relay.Question, limit time.Duration) (relay.Answer, error) {
	limited, cancel := stall.WithLimit(ctx, limit, stalledLimit)
	defer cancel()
	answer, err := n.ports.Peers.Ask(limited, address, question)
	if ctx.Err() == nil {
		n.peerAnswered(address, err)
	}
	return answer, err
}

// Answer implements relay.Handler.
func (n *Network) Answer(ctx context.Context, question relay.Question) relay.Answer {
	if question.Server != "" && question.StepDown {
		return n.demotedFor(question.Server)
	}
	if question.Server != "" {
		return relay.Answer{Reached: n.duties.Reaches(question.Server)}
	}
	if question.Within > 0 && n.listedForOthers(question.Kind) {
		return n.answerListing(ctx, &question)
	}
	if question.Kind != "" && question.Kind == n.options.Kinds.Members {
		return n.memberList(question.Peek)
	}
	cache := n.caches[question.Kind]
	if cache == nil {
		return relay.Answer{Failed: true, Outcome: objectstore.NotFound}
	}
	answer, err := answerFrom(ctx, cache, &question)
	if err != nil {
		return relay.Answer{Failed: true, Outcome: objectstore.OutcomeOf(err)}
	}
	if known := n.Catalog.Current().Configuration; question.Peek && question.Kind == n.options.Kinds.Configuration && known != nil {
		answer.Version = known.Version
	}
	if question.Within > 0 && cache.Age() > question.Within {
		return relay.Answer{Failed: true, Outcome: objectstore.NotDone}
	}
	return answer
}

// demotedFor makes a server give up the lead for another node.
func (n *Network) demotedFor(server string) relay.Answer {
	status := n.duties.Demote(server)
	if status == nil {
		return relay.Answer{}
	}
	return relay.Answer{Reached: true, Received: status.Received}
}

// answerFrom answers a question for objects from what this node knows.
func answerFrom(ctx context.Context, cache *objectstore.Cache, question *relay.Question) (relay.Answer, error) {
	var answer relay.Answer
	var err error
	switch {
	case question.Piece != nil:
		answer.Piece, err = cache.Piece(question.Piece.Object, question.Piece.Revision, question.Piece.Offset)
	case question.Peek:
		answer.Revision, err = cache.Revision()
	case question.Changes:
		answer.Objects, answer.Revision, err = cache.Watch(ctx, question.After, question.Wait)
		if question.Patches {
			answer.Objects, answer.Patched = cache.Compact(answer.Objects, question.After)
		}
	default:
		cache.AwaitListed(ctx, question.Wait)
		answer.Objects, answer.Revision, err = cache.List()
	}
	if question.Pieces {
		answer.Objects, answer.Large = cache.NameLarge(answer.Objects)
	}
	return answer, err
}

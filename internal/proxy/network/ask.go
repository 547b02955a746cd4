package network

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/relay"
	"dewknot/internal/proxy/upstream"
)

// MemberAnswer is an answer and the address of the node that gave it.
type MemberAnswer struct {
	relay.Answer
	From string
}

// AskMembers asks other nodes at the same time and returns the answers that
// came before ctx ended.
func (n *Network) AskMembers(ctx context.Context, members []Member, question relay.Question) []MemberAnswer {
	return n.gather(ctx, members, question, 0)
}

// gather is askMembers, but with a grace it waits no longer than that after the
// first answer that did not fail.
func (n *Network) gather(ctx context.Context, members []Member, question relay.Question, grace time.Duration) []MemberAnswer {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan *MemberAnswer, len(members))
	for _, member := range members {
		go func() { answered <- n.askMember(limited, &member, question) }()
	}
	var answers []MemberAnswer
	var enough <-chan time.Time
	for range members {
		select {
		case answer := <-answered:
			if answer == nil {
				continue
			}
			answers = append(answers, *answer)
			if grace > 0 && !answer.Failed && enough == nil {
				timer := time.NewTimer(grace)
				defer timer.Stop()
				enough = timer.C
			}
		case <-enough:
			return answers
		}
	}
	return answers
}

// AskToDemote asks another node to make a server give up the lead; nil if it did not.
func (n *Network) AskToDemote(ctx context.Context, member *Member, server string) *upstream.Status {
	answer := n.askMember(ctx, member, relay.Question{Server: server, StepDown: true})
	if answer == nil || !answer.Reached {
		return nil
	}
	return &upstream.Status{Received: answer.Received}
}

// askMember asks one node; nil if it does not answer. That its answer is no longer
// wanted says nothing of the node, and is not logged.
func (n *Network) askMember(ctx context.Context, member *Member, question relay.Question) *MemberAnswer {
	began := time.Now()
	answer, err := n.ports.Peers.Ask(ctx, member.Address, question)
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil
	}
	n.peerAnswered(member.Address, err)
	if err != nil {
		n.Log.Write(eventlog.PeerSilent, zap.String("peer", member.Name), zap.String("address", member.Address),
			zap.Duration("after", time.Since(began)), zap.Error(err))
		return nil
	}
	return &MemberAnswer{Answer: answer, From: member.Address}
}

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

// MemberAnswer is an answer together with the address of the node that sent it.
type MemberAnswer struct {
	relay.Answer
	From string
}

// AskMembers sends a request to several nodes in parallel and returns the answers that arrived
// before ctx ended.
func (n *Network) AskMembers(ctx context.Context, members []Member, request relay.Request) []MemberAnswer {
	return n.collectAnswers(ctx, members, request, 0)
}

// collectAnswers implements AskMembers. With a positive grace it returns at the latest that long
// after the first answer that did not fail.
func (n *Network) collectAnswers(ctx context.Context, members []Member, request relay.Request, grace time.Duration) []MemberAnswer {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan *MemberAnswer, len(members))
	for _, member := range members {
		go func() { results <- n.askMember(limited, &member, request) }()
	}
	var answers []MemberAnswer
	var graceOver <-chan time.Time
	for range members {
		select {
		case answer := <-results:
			if answer == nil {
				continue
			}
			answers = append(answers, *answer)
			if grace > 0 && !answer.Failed && graceOver == nil {
				timer := time.NewTimer(grace)
				defer timer.Stop()
				graceOver = timer.C
			}
		case <-graceOver:
			return answers
		}
	}
	return answers
}

// RequestDemotion asks another node to demote a primary. It returns nil if the server was not
// demoted.
func (n *Network) RequestDemotion(ctx context.Context, member *Member, server string) *upstream.Status {
	answer := n.askMember(ctx, member, relay.Request{Server: server, StepDown: true})
	if answer == nil || !answer.Reached {
		return nil
	}
	return &upstream.Status{Received: answer.Received}
}

// askMember sends a request to one node and returns nil if there is no answer. A canceled request
// says nothing about the node, so it is neither recorded nor logged.
func (n *Network) askMember(ctx context.Context, member *Member, request relay.Request) *MemberAnswer {
	began := time.Now()
	answer, err := n.ports.Peers.Ask(ctx, member.Address, request)
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil
	}
	n.recordPeerAnswer(member.Address, err)
	if err != nil {
		n.Log.Write(eventlog.PeerSilent, zap.String("peer", member.Name), zap.String("address", member.Address),
			zap.Duration("after", time.Since(began)), zap.Error(err))
		return nil
	}
	return &MemberAnswer{Answer: answer, From: member.Address}
}

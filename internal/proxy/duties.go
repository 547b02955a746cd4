package proxy

import (
	"context"
	"time"

	"dewknot/internal/proxy/upstream"
)

// duties is the node as its network sees it. It implements Duties.
type duties struct{ *Node }

// MembersChanged implements Duties.
func (d duties) MembersChanged() { d.fleetChanged() }

// TakeShare implements Duties.
func (d duties) TakeShare(listed bool, now time.Time) bool { return d.giveShare(listed, now) }

// ReadLeases implements Duties.
func (d duties) ReadLeases(ctx context.Context) { d.readLeases(ctx) }

// MakeLeases implements Duties.
func (d duties) MakeLeases(ctx context.Context) bool { return d.makeLeases(ctx) }

// LookAtLeases implements Duties.
func (d duties) LookAtLeases(ctx context.Context) { d.lookAtLeases(ctx) }

// AwaitInformed implements Duties.
func (d duties) AwaitInformed() { d.awaitInformed(time.Now()) }

// Reaches implements Duties.
func (d duties) Reaches(server string) bool { return d.reaches(server) }

// Demote implements Duties.
func (d duties) Demote(server string) *upstream.Status {
	if d.tenures == nil {
		return nil
	}
	return d.demote(server)
}

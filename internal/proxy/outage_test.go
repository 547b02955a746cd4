package proxy_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/proxy/command"
)

// rejectionTimeout bounds the time until work that cannot be served is rejected.
const rejectionTimeout = 50 * time.Millisecond

// sendOften sends statements for a duration, each on a new session to a random database. It returns
// how many were served and rejected, and the longest time until a rejection.
func (f *simulatedFleet) sendOften(
	kind command.Kind, text string, duration time.Duration,
) (served, refused int, slowest time.Duration) {
	random := rand.New(rand.NewPCG(3, uint64(len(text))+uint64(text[6])))
	for i, until := 0, time.Now().Add(duration); time.Now().Before(until); i++ {
		time.Sleep(10 * time.Millisecond)
		session, _ := f.connect(random, testTenants["amber"][0])
		if session == nil {
			continue
		}
		began := time.Now()
		answer, open := session.Ask(command.Command{
			Kind: kind, RequestID: fmt.Sprintf("%s-%d", text, i), Text: text,
		})
		if open && answer.Failed {
			refused++
			slowest = max(slowest, time.Since(began))
		} else if open {
			served++
		}
		session.Close()
	}
	return served, refused, slowest
}

// TestWorkForALostPrimaryIsRefusedAtOnce guards against callers that wait until their deadlines
// although no primary has been usable for longer than a failover takes, because the platform
// doesn't execute promotions. Once it does, callers must be served again soon.
func TestWorkForALostPrimaryIsRefusedAtOnce(t *testing.T) {
	for name, unfenced := range map[string]bool{"fenced": false, "without fences": true} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Test(t, func(t *testing.T) {
				fleet := prepareFleet(fleetConfig{nodes: fleetOfFive, unfenced: unfenced})
				fleet.startNodes()
				time.Sleep(10 * time.Second)
				served, refused, _ := fleet.sendOften(command.Write, "WRITE 1 x", time.Second)
				must.Positive(t, served)
				must.Zero(t, refused)
				fleet.promoter.SetOrderDelay(time.Minute)
				fleet.group.Primary().Crash()
				var waiting sync.WaitGroup
				for i := range 4 * fleetOfFive {
					waiting.Go(func() {
						fleet.sendOften(command.Write, fmt.Sprintf("WRITE %d x", i), 8*time.Second)
					})
				}
				waiting.Wait()
				for _, work := range []struct {
					kind command.Kind
					text string
				}{{command.Write, "WRITE 1 x"}, {command.Read, "READ 10"}} {
					served, refused, slowest := fleet.sendOften(work.kind, work.text, 5*time.Second)
					t.Logf("%s: %d served, %d refused, the slowest after %v", work.text, served,
						refused, slowest)
					must.Positive(t, refused)
					must.Less(t, rejectionTimeout, slowest)
				}
				fleet.promoter.SetOrderDelay(0)
				time.Sleep(6 * time.Second)
				served, refused, _ = fleet.sendOften(command.Write, "WRITE 1 x", time.Second)
				must.Positive(t, served)
				must.Zero(t, refused)
				fleet.end()
			})
		})
	}
}

package freshness

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/position"
	_ "dewknot/internal/base/propertytest" // fixes the seed
)

var epoch = time.Unix(1_000_000, 0)

func at(milliseconds int) time.Time { return epoch.Add(time.Duration(milliseconds) * time.Millisecond) }

func pos(term, offset uint64) position.Position {
	return position.Position{Term: term, Offset: offset}
}

func TestMinimumPositionNeedsRecentProof(t *testing.T) {
	var proofs Proofs
	_, found := proofs.MinimumPosition(at(0), time.Second, OwnCommit{})
	must.False(t, found)
	proofs.Add(Proof{At: at(0), Position: pos(1, 10)})
	_, found = proofs.MinimumPosition(at(1001), time.Second, OwnCommit{})
	must.False(t, found)
	minimum, found := proofs.MinimumPosition(at(1000), time.Second, OwnCommit{})
	must.True(t, found)
	must.Eq(t, pos(1, 10), minimum.Position)
}

func TestMinimumPositionIsOldestAllowed(t *testing.T) {
	var proofs Proofs
	for i := range 20 {
		proofs.Add(Proof{At: at(100 * i), Position: pos(1, uint64(i))})
	}
	minimum, found := proofs.MinimumPosition(at(1900), time.Second, OwnCommit{})
	must.True(t, found)
	must.Eq(t, pos(1, 9), minimum.Position)
}

func TestMinimumPositionCoversOwnCommit(t *testing.T) {
	var proofs Proofs
	proofs.Add(Proof{At: at(0), Position: pos(1, 10)})
	own := OwnCommit{At: at(500), Position: pos(1, 20)}
	minimum, found := proofs.MinimumPosition(at(600), time.Second, own)
	must.True(t, found)
	must.Eq(t, pos(1, 20), minimum.Position)
	must.Eq(t, at(500), minimum.Since)
}

func TestOwnCommitThatWasRolledBackIsNotAwaited(t *testing.T) {
	var proofs Proofs
	proofs.Add(Proof{At: at(0), Position: pos(1, 10)})
	own := OwnCommit{At: at(500), Position: pos(1, 20)}
	proofs.Add(Proof{At: at(900), Position: pos(2, 15)})
	minimum, found := proofs.MinimumPosition(at(950), time.Second, own)
	must.True(t, found)
	must.Eq(t, pos(2, 15), minimum.Position)

	// The same if the new primary has not written in its own term yet.
	var same Proofs
	same.Add(Proof{At: at(0), Position: pos(1, 10)})
	same.Add(Proof{At: at(900), Position: pos(1, 15)})
	minimum, found = same.MinimumPosition(at(950), time.Second, own)
	must.True(t, found)
	must.Eq(t, pos(1, 15), minimum.Position)
}

func TestProofsOfOlderTermsAreIgnoredAfterPromotion(t *testing.T) {
	var proofs Proofs
	proofs.Add(Proof{At: at(0), Position: pos(1, 20)})
	proofs.Add(Proof{At: at(500), Position: pos(2, 15)})
	minimum, found := proofs.MinimumPosition(at(600), time.Second, OwnCommit{})
	must.True(t, found)
	must.Eq(t, pos(2, 15), minimum.Position)
}

// logModel is a reference model of a service's log with commits and promotions.
type logModel struct {
	commits []modelCommit
	term    uint64
	now     int
}

type modelCommit struct {
	at       int
	position position.Position
	lost     bool
}

func (m *logModel) head() position.Position {
	for i := len(m.commits) - 1; i >= 0; i-- {
		if !m.commits[i].lost {
			return m.commits[i].position
		}
	}
	return pos(m.term, 0)
}

func (m *logModel) commit() modelCommit {
	created := modelCommit{at: m.now, position: pos(m.term, m.head().Offset+1)}
	m.commits = append(m.commits, created)
	return created
}

// promote removes the newest commits from the log.
func (m *logModel) promote(lost int) {
	for i := len(m.commits) - 1; i >= 0 && lost > 0; i-- {
		if !m.commits[i].lost {
			m.commits[i].lost = true
			lost--
		}
	}
	m.term++
}

// TestMinimumPositionCoversRequiredCommits guards against a minimum position that lacks a commit
// which the read must see, after any sequence of commits, proofs and promotions.
func TestMinimumPositionCoversRequiredCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := logModel{term: 1}
		var proofs Proofs
		var own OwnCommit
		ownIndex := -1
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			model.now += rapid.IntRange(1, 400).Draw(t, "gap")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				model.promote(rapid.IntRange(0, 3).Draw(t, "lost"))
			case 1, 2, 3:
				proofs.Add(Proof{At: at(model.now), Position: model.head()})
			case 4:
				created := model.commit()
				own, ownIndex = OwnCommit{At: at(model.now), Position: created.position}, len(model.commits)-1
			default:
				model.commit()
			}
			window := rapid.IntRange(50, 2000).Draw(t, "span")
			minimum, found := proofs.MinimumPosition(at(model.now), time.Duration(window)*time.Millisecond, own)
			if !found {
				continue
			}
			for i, commit := range model.commits {
				required := commit.at < model.now-window || i == ownIndex
				if required && !commit.lost && minimum.Position.Less(commit.position) {
					t.Fatalf("minimum position %v at %d (window %d) lacks commit %+v", minimum.Position, model.now, window, commit)
				}
			}
		}
	})
}

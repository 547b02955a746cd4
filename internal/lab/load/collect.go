package load

import (
	"fmt"

	"dewknot/internal/base/position"
	"dewknot/internal/lab/history"
	"dewknot/internal/lab/standin/database"
)

// CollectCommits adds the logs of a group's servers to a history. The first argument of a statement
// must be the key that it writes, the second the ID of its operation.
func CollectCommits(recorded *history.History, group string, leader int, logs [][]database.LoggedTransaction) {
	seen := map[position.Position]bool{}
	for server, log := range logs {
		for _, logged := range log {
			if server == leader {
				recorded.Final[group] = append(recorded.Final[group], logged.Position)
			}
			if seen[logged.Position] {
				continue
			}
			seen[logged.Position] = true
			if commit := commitOf(group, server, logged); len(commit.Operations) > 0 {
				recorded.Commits = append(recorded.Commits, commit)
			}
		}
	}
}

func commitOf(group string, server int, logged database.LoggedTransaction) history.Commit {
	const writeArguments = 2
	commit := history.Commit{Group: group, Server: server, Position: logged.Position}
	for _, arguments := range logged.Args {
		if len(arguments) < writeArguments {
			continue
		}
		commit.Keys = append(commit.Keys, fmt.Sprint(arguments[0]))
		commit.Operations = append(commit.Operations, fmt.Sprint(arguments[1]))
	}
	return commit
}

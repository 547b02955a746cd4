package cli

import "dewknot/internal/lab/rounds"

// roundsCommand shows the measured rounds in journal entries.
type roundsCommand struct {
	Site    string   `required:"" help:"Deployment of the rounds."`
	Plot    string   `help:"Draw the first and the last round into this PNG file."`
	Entries []string `arg:"" type:"existingfile" help:"Journal entries (JSON)."`
}

// Run prints the rounds and draws the plot.
func (c *roundsCommand) Run(env *environment) error {
	entries, err := rounds.Read(c.Entries, c.Site)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		env.printf("%s score %.3f", entry.At[0], entry.Score)
		for _, run := range entry.Runs {
			env.printf("  %s %.3f", run.Name, run.Value)
		}
		env.printf("\n")
	}
	if c.Plot == "" {
		return nil
	}
	return rounds.Plot(c.Plot, entries)
}

package cli

import (
	"time"

	"dewknot/internal/lab/explain"
	"dewknot/internal/lab/timeline"
)

// timelineCommand plots the outcomes of requests from event logs.
type timelineCommand struct {
	Out  string        `required:"" help:"Image file to write (PNG)."`
	Step time.Duration `default:"500ms" help:"Duration of a column."`
	Late time.Duration `default:"1s" help:"Duration from which a served request counts as late."`
	Logs []string      `arg:"" type:"existingfile" help:"Event logs of the nodes."`
}

// Run reads the logs and writes the image.
func (c *timelineCommand) Run(*environment) error {
	logs := &explain.Logs{}
	for _, path := range c.Logs {
		if err := readLog(logs, path); err != nil {
			return err
		}
	}
	counted, err := timeline.Count(logs, timeline.Config{Step: c.Step, Late: c.Late})
	if err != nil {
		return err
	}
	return counted.Draw(c.Out)
}

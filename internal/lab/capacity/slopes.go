// Package capacity computes, from measured costs, what each role of a node needs at a given fleet
// size.
package capacity

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Slope is a line fitted to measurements of a cost at several sizes.
type Slope struct {
	// Name identifies the cost, see Names.
	Name string `toml:"name"`
	// Unit is the unit of the cost, Per the unit of the size.
	Unit      string  `toml:"unit"`
	Per       string  `toml:"per"`
	Intercept float64 `toml:"intercept"`
	Slope     float64 `toml:"slope"`
	// WorstError is the largest distance of a measurement from the line, as a fraction of the
	// largest measurement.
	WorstError float64   `toml:"worst_error"`
	Sizes      []float64 `toml:"sizes"`
	Values     []float64 `toml:"values"`
	// Command is the command that made the measurements.
	Command string `toml:"command"`
}

// maxLinearError is the largest WorstError of a slope that counts as linear.
const maxLinearError = 0.15

// minSizes is the minimum number of measurements of a slope.
const minSizes = 4

// Fit computes the least-squares line of measurements.
func Fit(name, unit, per, command string, sizes, values []float64) (Slope, error) {
	if len(sizes) != len(values) || len(sizes) < minSizes {
		return Slope{}, errors.Errorf("slope %s has %d sizes and %d values; measure at %d sizes or more", name, len(sizes), len(values), minSizes)
	}
	meanSize, meanValue := mean(sizes), mean(values)
	covariance, variance := 0.0, 0.0
	for index := range sizes {
		covariance += (sizes[index] - meanSize) * (values[index] - meanValue)
		variance += (sizes[index] - meanSize) * (sizes[index] - meanSize)
	}
	fitted := Slope{Name: name, Unit: unit, Per: per, Command: command, Sizes: sizes, Values: values}
	if variance > 0 {
		fitted.Slope = covariance / variance
	}
	fitted.Intercept = meanValue - fitted.Slope*meanSize
	largest := 0.0
	for index := range sizes {
		largest = max(largest, math.Abs(values[index]))
		fitted.WorstError = max(fitted.WorstError, math.Abs(fitted.At(sizes[index])-values[index]))
	}
	if largest > 0 {
		fitted.WorstError /= largest
	}
	return fitted, nil
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// At returns the line's value at a size.
func (s Slope) At(size float64) float64 { return s.Intercept + s.Slope*size }

// Linear reports whether the line fits its measurements well enough.
func (s Slope) Linear() bool { return s.WorstError <= maxLinearError }

// Slopes is the content of a slopes file.
type Slopes struct {
	// Machine describes where the slopes were measured.
	Machine string  `toml:"machine"`
	Slope   []Slope `toml:"slope"`
}

// The names of the slopes that a plan needs.
const (
	CallerMemory      = "caller_memory"
	OwnedStatement    = "owned_statement_cpu"
	ForwardStatement  = "forwarded_statement_cpu"
	StatusCPU         = "status_question_cpu"
	StatusBytes       = "status_question_bytes"
	GossipBytes       = "gossip_bytes"
	GossipMessages    = "gossip_messages"
	GossipCPU         = "gossip_cpu"
	ControlMemory     = "control_memory"
	ChangeBytes       = "change_bytes"
	ChangeCPU         = "change_cpu"
	ChangeSpread      = "change_spread"
	ChurnBytes        = "churn_bytes"
	ChurnCPU          = "churn_cpu"
	BackendConnection = "backend_connection_memory"
	GroupMemory       = "group_memory"
)

// Names lists the slopes that a plan needs.
var Names = []string{
	CallerMemory, OwnedStatement, ForwardStatement, StatusCPU, StatusBytes, GossipBytes, GossipMessages, GossipCPU,
	ControlMemory, ChangeBytes, ChangeCPU, ChangeSpread, ChurnBytes, ChurnCPU, BackendConnection, GroupMemory,
}

// Size is the content of a size file: the load of a fleet and the limits of its cost.
type Size struct {
	Nodes                int     `toml:"nodes"`
	Groups               int     `toml:"groups"`
	ServersPerGroup      int     `toml:"servers_per_group"`
	ClientConnections    int     `toml:"client_connections"`
	StatementsPerSecond  int     `toml:"statements_per_second"`
	ConnectionsPerServer int     `toml:"connections_per_server"`
	Zones                int     `toml:"zones"`
	Regions              int     `toml:"regions"`
	PrimaryChangesPerDay float64 `toml:"primary_changes_per_day"`
	ConfigChangesPerDay  float64 `toml:"config_changes_per_day"`
	FailuresPerDay       float64 `toml:"failures_per_day"`
	RestartsPerDay       float64 `toml:"restarts_per_day"`
	// PollSeconds is the interval of status queries (setting poll_interval).
	PollSeconds float64 `toml:"poll_seconds"`
	// ConnectMilliseconds is the time to open a back-end connection.
	ConnectMilliseconds float64 `toml:"connect_milliseconds"`
	// The remaining fields are limits, except ElectionSeconds and MeasuredGapSeconds.
	ControlCorePercent   float64 `toml:"control_core_percent"`
	ControlMegabytes     float64 `toml:"control_megabytes"`
	ControlKilobytes     float64 `toml:"control_kilobytes_per_second"`
	PrimaryChangeSeconds float64 `toml:"primary_change_seconds"`
	ConfigurationSeconds float64 `toml:"configuration_seconds"`
	ElectionSeconds      float64 `toml:"election_seconds"`
	MeasuredGapSeconds   float64 `toml:"measured_gap_seconds"`
}

func decodeStrict(path string, target any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read file")
	}
	decoder := toml.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(target)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var lines []string
		for _, unknown := range strict.Errors {
			row, _ := unknown.Position()
			lines = append(lines, fmt.Sprintf("%s:%d: unknown key %q; remove it or correct its name", path, row, strings.Join(unknown.Key(), ".")))
		}
		return errors.New(strings.Join(lines, "\n"))
	}
	return errors.Wrapf(err, "file %s", path)
}

// LoadSize reads a size file. Unknown keys and missing or non-positive values are errors.
func LoadSize(path string) (Size, error) {
	size := Size{}
	if err := decodeStrict(path, &size); err != nil {
		return size, err
	}
	required := map[string]float64{
		"nodes": float64(size.Nodes), "groups": float64(size.Groups), "servers_per_group": float64(size.ServersPerGroup),
		"client_connections": float64(size.ClientConnections), "statements_per_second": float64(size.StatementsPerSecond),
		"connections_per_server": float64(size.ConnectionsPerServer), "poll_seconds": size.PollSeconds,
		"control_core_percent": size.ControlCorePercent, "control_megabytes": size.ControlMegabytes,
		"control_kilobytes_per_second": size.ControlKilobytes, "primary_change_seconds": size.PrimaryChangeSeconds,
		"configuration_seconds": size.ConfigurationSeconds, "zones": float64(size.Zones), "regions": float64(size.Regions),
	}
	var missing []string
	for name, value := range required {
		if value <= 0 {
			missing = append(missing, name)
		}
	}
	if len(missing) > 0 {
		sort.Strings(missing)
		return size, errors.Errorf("size file %s needs values above zero for: %s", path, strings.Join(missing, ", "))
	}
	return size, nil
}

// LoadSlopes reads a slopes file. Unknown keys and missing slopes are errors.
func LoadSlopes(path string) (Slopes, error) {
	slopes := Slopes{}
	if err := decodeStrict(path, &slopes); err != nil {
		return slopes, err
	}
	var missing []string
	for _, name := range Names {
		if _, ok := slopes.find(name); !ok {
			missing = append(missing, name)
		}
	}
	if len(missing) > 0 {
		return slopes, errors.Errorf("slopes file %s is missing: %s; recreate it with 'dewknot measure'", path, strings.Join(missing, ", "))
	}
	return slopes, nil
}

func (s Slopes) find(name string) (Slope, bool) {
	for _, slope := range s.Slope {
		if slope.Name == name {
			return slope, true
		}
	}
	return Slope{}, false
}

// Save writes a slopes file.
func (s Slopes) Save(path string) error {
	encoded, err := toml.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode slopes")
	}
	return errors.Wrap(os.WriteFile(path, encoded, 0o644), "write slopes")
}

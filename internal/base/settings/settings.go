// Package settings reads and validates a node's settings from a TOML file. Commands override
// them with flags and environment variables.
package settings

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Duration is a duration in the format of time.ParseDuration, such as "250ms".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	d.Duration = parsed
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Node holds the settings of a node.
type Node struct {
	// ID is the node's name. It must be unique in the fleet.
	ID   string `toml:"id" validate:"required,max=64"`
	Zone string `toml:"zone" validate:"required,max=64"`
	// The listen addresses: Listen for callers, Peer for other nodes (TCP), Gossip for the
	// membership protocol (UDP) and Operator for operators (HTTP).
	Listen   string `toml:"listen" validate:"required,hostname_port"`
	Peer     string `toml:"peer" validate:"required,hostname_port"`
	Gossip   string `toml:"gossip" validate:"required,hostname_port"`
	Operator string `toml:"operator" validate:"required,hostname_port"`
	// Seeds are gossip addresses of other nodes.
	Seeds []string `toml:"seeds" validate:"dive,hostname_port"`
	// Store is the base URL of the platform's object API.
	Store string `toml:"store" validate:"required,http_url"`
	// FleetKeys authenticate nodes of the fleet. The node uses the first and accepts all.
	FleetKeys []string `toml:"fleet_keys" validate:"required,min=1,dive,min=16"`
	// Authentication is scram or trust.
	Authentication string `toml:"authentication" validate:"oneof=scram trust"`
	// ReviewRequired means that a second operator must approve policies.
	ReviewRequired  bool     `toml:"review_required"`
	DrainLimit      Duration `toml:"drain_limit"`
	MaxConnections  int      `toml:"max_connections" validate:"min=1,max=1000000"`
	MaxMessageBytes int      `toml:"max_message_bytes" validate:"min=1024,max=1073741824"`
	QueueLimit      int      `toml:"queue_limit" validate:"min=1,max=1000000"`
	PollInterval    Duration `toml:"poll_interval"`
	LogLevel        string   `toml:"log_level" validate:"oneof=debug info warn error"`
	LogFormat       string   `toml:"log_format" validate:"oneof=console json"`
}

// Defaults returns the default settings.
func Defaults() Node {
	return Node{
		Authentication: "scram", DrainLimit: Duration{30 * time.Second},
		MaxConnections: 20_000, MaxMessageBytes: 16 << 20, QueueLimit: 512,
		PollInterval: Duration{500 * time.Millisecond}, LogLevel: "info", LogFormat: "console",
	}
}

// Load reads a settings file. Missing keys get their defaults. Unknown keys and values of the
// wrong type are errors that name the line. Load returns the defaults if the path is empty.
func Load(path string) (Node, error) {
	loaded := Defaults()
	if path == "" {
		return loaded, nil
	}
	return loaded, readStrict(path, &loaded)
}

// readStrict decodes a settings file into target. Unknown keys are errors.
func readStrict(path string, target any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings; name the file with --settings")
	}
	if err := invalidSettings(invalidDurations(content, target)); err != nil {
		return errors.Wrapf(err, "settings file %s", path)
	}
	decoder := toml.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return describeDecodeError(path, err)
	}
	return nil
}

// invalidDurations returns a line for each duration in a settings file for target that can't be parsed.
// The decoder's own error doesn't name the key.
func invalidDurations(content []byte, target any) []string {
	var values map[string]any
	if toml.Unmarshal(content, &values) != nil {
		// The decoder reports the position.
		return nil
	}
	var lines []string
	fields := reflect.TypeOf(target).Elem()
	for i := range fields.NumField() {
		key := fields.Field(i).Tag.Get("toml")
		value, set := values[key]
		if !set || fields.Field(i).Type != reflect.TypeFor[Duration]() {
			continue
		}
		if _, err := time.ParseDuration(fmt.Sprint(value)); err != nil {
			lines = append(lines, fmt.Sprintf("%s = %v: write a number and a unit in quotes, such as \"250ms\"", key, value))
		}
	}
	return lines
}

// describeDecodeError returns an error with a line for each fault, with its file and position.
func describeDecodeError(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var lines []string
		for _, unknown := range strict.Errors {
			row, column := unknown.Position()
			lines = append(lines, fmt.Sprintf("%s:%d:%d: unknown key %q; remove it or correct its name", path, row, column, strings.Join(unknown.Key(), ".")))
		}
		return errors.New(strings.Join(lines, "\n"))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		return errors.Errorf("%s:%d:%d: %s; correct the value of %q", path, row, column, decode.Error(), strings.Join(decode.Key(), "."))
	}
	return errors.Wrapf(err, "settings file %s", path)
}

// Limits of durations, which validation tags cannot express.
const (
	minimumDrain = time.Second
	maximumDrain = time.Hour
	minimumPoll  = 50 * time.Millisecond
	maximumPoll  = 10 * time.Second
)

// Check returns an error that names all invalid values with a remedy for each.
func (n *Node) Check() error {
	lines := checkTags(n)
	if n.DrainLimit.Duration < minimumDrain || n.DrainLimit.Duration > maximumDrain {
		lines = append(lines, fmt.Sprintf("drain_limit = %s: use %s to %s", n.DrainLimit, minimumDrain, maximumDrain))
	}
	if n.PollInterval.Duration < minimumPoll || n.PollInterval.Duration > maximumPoll {
		lines = append(lines, fmt.Sprintf("poll_interval = %s: use %s to %s", n.PollInterval, minimumPoll, maximumPoll))
	}
	return invalidSettings(lines)
}

// checkTags returns a line for each value that fails its validation tags.
func checkTags(checked any) []string {
	var lines []string
	checker := validator.New()
	checker.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("toml") })
	var faults validator.ValidationErrors
	if err := checker.Struct(checked); errors.As(err, &faults) {
		for _, fault := range faults {
			lines = append(lines, fmt.Sprintf("%s = %v: %s", fault.Field(), displayedValue(fault), remedy(fault)))
		}
	}
	return lines
}

// invalidSettings returns an error with the lines, nil if there are none.
func invalidSettings(lines []string) error {
	if len(lines) == 0 {
		return nil
	}
	return errors.New("the settings are invalid:\n  " + strings.Join(lines, "\n  "))
}

// displayedValue returns the value for an error message. Keys are hidden.
func displayedValue(fault validator.FieldError) any {
	if strings.HasPrefix(fault.Field(), "fleet_keys") {
		return "(hidden)"
	}
	return fmt.Sprintf("%q", fmt.Sprint(fault.Value()))
}

func remedy(fault validator.FieldError) string {
	switch fault.Tag() {
	case "required":
		return "a value is needed"
	case "hostname_port":
		return "write it as ip:port, such as 127.0.0.1:7000"
	case "http_url":
		return "write it as http://ip:port"
	case "oneof":
		return "use one of: " + fault.Param()
	case "min":
		return "use at least " + fault.Param()
	case "max":
		return "use at most " + fault.Param()
	default:
		return "must satisfy " + fault.Tag() + " " + fault.Param()
	}
}

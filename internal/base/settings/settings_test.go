package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

func load(t *testing.T, content string) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.toml")
	must.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	loaded, err := Load(path)
	if err != nil {
		return err
	}
	return loaded.Check()
}

const validNode = `
id = "a1"
zone = "a"
listen = "127.0.0.1:1"
peer = "127.0.0.1:2"
gossip = "127.0.0.1:3"
operator = "127.0.0.1:4"
store = "http://127.0.0.1:5"
fleet_keys = ["0123456789abcdef"]
`

func TestSettings(t *testing.T) {
	must.NoError(t, load(t, validNode))
	cases := map[string]string{
		validNode + "colour = 3":                 ":10:1: unknown key \"colour\"",
		validNode + "max_connections = \"many\"": ":10:",
		validNode + "max_connections = 0":        "max_connections = \"0\": use at least 1",
		validNode + "log_level = \"loud\"":       "use one of: debug info warn error",
		validNode + "drain_limit = \"1ms\"":      "drain_limit = 1ms: use 1s to 1h",
		validNode + "seeds = [\"nowhere\"]":      "write it as ip:port",
		"id = \"a1\"\nfleet_keys = [\"abc\"]":    "fleet_keys[0] = (hidden): use at least 16",
	}
	for content, want := range cases {
		err := load(t, content)
		must.Error(t, err)
		must.StrContains(t, err.Error(), want)
	}
}

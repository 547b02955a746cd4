package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

const validProxy = `name = "n1"
zone = "a"
callers = "127.0.0.1:7000"
readiness = "127.0.0.1:7001"
store = "127.0.0.1:7002"
`

func loadProxy(t *testing.T, content string) (Proxy, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	must.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return LoadProxy(path)
}

func TestProxySettings(t *testing.T) {
	loaded, err := loadProxy(t, validProxy)
	must.NoError(t, err)
	must.Eq(t, ProxyDefaults().DrainBound, loaded.DrainBound)
	for content, expected := range map[string]string{
		validProxy + "drain_bound = \"0s\"\n":      "drain_bound = 0s: use 100ms to 1h0m0s",
		validProxy + "memory_limit_mb = 1\n":       "memory_limit_mb = \"1\": use at least 16",
		validProxy + "processors = -1.0\n":         "processors = \"-1\": use at least 0",
		validProxy + "link_mbps = 1e9\n":           "link_mbps = \"1e+09\": use at most 1000000",
		validProxy + "link_mbps = nan\n":           "link_mbps = \"NaN\": use",
		validProxy + "link_mbps = \"fast\"\n":      "correct the value of \"link_mbps\"",
		validProxy + "memory = 1\n":                "settings.toml:6:1: unknown key \"memory\"; remove it or correct its name",
		validProxy + "peers = \"here\"\n":          "peers = \"here\": write it as ip:port, such as 127.0.0.1:7000",
		validProxy + "log_lines_per_second = \"\"": "correct the value of \"log_lines_per_second\"",
		validProxy + "log_level = \"debug\"\n":     "log_level = \"debug\": use one of: everything problems beliefs",
		validProxy + "advertise = \"there\"\n":     "advertise = \"there\": write it as ip:port",
		validProxy + "seeds = [\"there\"]\n":       "seeds[0] = \"there\": write it as ip:port",
		"name = \"n1\"\n":                          "zone = \"\": a value is needed",
	} {
		_, err := loadProxy(t, content)
		must.ErrorContains(t, err, expected)
	}
	_, err = LoadProxy(filepath.Join(t.TempDir(), "none.toml"))
	must.ErrorContains(t, err, "name the file with --settings")
}

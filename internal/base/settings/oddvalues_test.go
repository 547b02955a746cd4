package settings

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestOddValueNamesItsKey guards against odd values that crash the process, or that are refused without
// the key to correct.
func TestOddValueNamesItsKey(t *testing.T) {
	odd := []string{
		"-1", "99999999999999999999999", "nan", "inf", "-inf", "1e400", "[[]]", "{a = 1}", "1979-05-27",
		`"1h99999999999h"`, `"127.0.0.1:65536"`, `"a:b:7"`, "[1]", `[""]`,
	}
	required := map[string]string{"name": "n1", "zone": "a", "callers": "127.0.0.1:7000", "readiness": "127.0.0.1:7001", "store": "127.0.0.1:7002"}
	fields := reflect.TypeFor[Proxy]()
	for i := range fields.NumField() {
		key := fields.Field(i).Tag.Get("toml")
		for _, value := range odd {
			var content strings.Builder
			_, _ = fmt.Fprintf(&content, "%s = %s\n", key, value)
			for name, text := range required {
				if name != key {
					_, _ = fmt.Fprintf(&content, "%s = %q\n", name, text)
				}
			}
			_, err := loadProxy(t, content.String())
			isText := fields.Field(i).Type.Kind() == reflect.String && strings.HasPrefix(value, `"`)
			if (key == "name" || key == "zone") && isText {
				must.NoError(t, err, must.Sprint(key, value))
				continue
			}
			must.Error(t, err, must.Sprint(key, value))
			// For an invalid text the decoder names only its position, here the first line.
			must.True(t, strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "settings.toml:1:"), must.Sprint(key, value, err))
		}
	}
}

// TestNodeNameIsOneWord guards against names that move the other fields of a message to a server, and
// against promotions that can't be sent because the name fits no header.
func TestNodeNameIsOneWord(t *testing.T) {
	for _, name := range []string{" ", "n 1", " n1", "n1\t", "n1\r\nQUERY", "n\x001", "n\u00a01", "n\x7f"} {
		_, err := loadProxy(t, strings.Replace(validProxy, `"n1"`, tomlString(name), 1))
		must.ErrorContains(t, err, "name = "+fmt.Sprintf("%q", name)+": use a name without white space")
	}
	for _, name := range []string{"n%201", "front-hall-é", "日/..", "a+b|c", "-"} {
		loaded, err := loadProxy(t, strings.Replace(validProxy, `"n1"`, tomlString(name), 1))
		must.NoError(t, err)
		must.Eq(t, name, loaded.Name)
	}
}

// tomlString returns a text as a TOML string.
func tomlString(text string) string {
	var quoted strings.Builder
	_ = quoted.WriteByte('"')
	for _, r := range text {
		_, _ = fmt.Fprintf(&quoted, "\\U%08X", r)
	}
	return quoted.String() + `"`
}

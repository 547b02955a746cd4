// Package bounded shortens texts of unknown origin for error messages and log lines.
package bounded

import "strings"

// ellipsis marks a text that was shortened.
const ellipsis = "..."

// Text returns a text of at most limit bytes as it is, and the valid characters among the first limit
// bytes of a longer one, with an ellipsis.
func Text(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + ellipsis
}

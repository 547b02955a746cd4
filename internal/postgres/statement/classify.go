package statement

import (
	"net/url"
	"strings"
)

// Control is the effect of a statement on the surrounding transaction.
type Control uint8

// Kinds of transaction control.
const (
	NoControl Control = iota
	Begin
	Commit
	Rollback
)

// Parameter is a SET or SHOW of a dewknot.* parameter, handled by the node itself.
type Parameter struct {
	// Show is true for SHOW and false for SET.
	Show bool
	// Name is the part after "dewknot.", in lower case.
	Name string
	// Value is the new value for SET.
	Value string
}

// Info is the classification of one message of SQL text.
type Info struct {
	// ReadOnly is true if every statement is known to be a plain read.
	ReadOnly bool
	// Control is the transaction control of the first statement.
	Control Control
	// MayCommit is true if a statement could commit a transaction.
	MayCommit bool
	// Empty is true if the text has no statement.
	Empty bool
	// Unsupported names a feature of the text that pooled connections cannot support. It is empty
	// if there is none.
	Unsupported string
	// Kind is the request kind named in a comment, as in /*kind='seat_booking'*/.
	Kind string
	// Parameter is set if the text is one SET or SHOW of a dewknot parameter.
	Parameter *Parameter
}

// parameterPrefix is the prefix of the parameters that the node handles itself.
const parameterPrefix = "dewknot."

// pureFunctions are functions without side effects, and keywords that may precede a
// parenthesis. A statement that calls any other function is classified as a write.
var pureFunctions = wordSet(`ABS AVG BOOL_AND BOOL_OR BTRIM CAST CEIL CEILING CHAR_LENGTH COALESCE CONCAT COUNT
	DATE DATE_PART DATE_TRUNC EXISTS EXTRACT FLOOR GREATEST IN LEAST LEFT LENGTH LOWER LPAD LTRIM MAX MIN MOD NOW
	NULLIF OVER POSITION POWER RANK REPLACE RIGHT ROUND ROW ROW_NUMBER RPAD RTRIM SPLIT_PART SQRT STRPOS SUBSTR
	SUBSTRING SUM TO_CHAR TO_DATE TO_NUMBER TO_TIMESTAMP TRIM TRUNC UPPER VALUES ANY ALL ARRAY_AGG STRING_AGG
	FILTER JSON_AGG JSONB_AGG GENERATE_SERIES UNNEST VERSION AND OR NOT AS ON WHERE FROM SELECT JOIN USING BY
	THEN ELSE WHEN CASE UNION EXCEPT INTERSECT HAVING LIKE BETWEEN DISTINCT LIMIT OFFSET WITH IS MATERIALIZED`)

// writeWords mark a statement as a write even if it begins like a read.
var writeWords = wordSet(`INSERT UPDATE DELETE MERGE INTO NEXTVAL SETVAL`)

// lockWords are the words that follow FOR in locking reads.
var lockWords = wordSet(`UPDATE SHARE NO KEY`)

// sessionStatements are statements that need the same back-end connection beyond a
// transaction, with the names of their features.
var sessionStatements = map[string]string{
	"LISTEN": "LISTEN", "UNLISTEN": "UNLISTEN", "NOTIFY": "NOTIFY", "COPY": "COPY", "LOAD": "LOAD",
	"PREPARE": "SQL-level PREPARE", "EXECUTE": "SQL-level EXECUTE", "DEALLOCATE": "DEALLOCATE",
	"DECLARE": "SQL-level cursors", "FETCH": "SQL-level cursors", "MOVE": "SQL-level cursors",
	"DISCARD": "DISCARD", "VACUUM": "VACUUM",
}

func wordSet(words string) map[string]bool {
	set := map[string]bool{}
	for _, word := range strings.Fields(words) {
		set[word] = true
	}
	return set
}

// Classify classifies one message of SQL text, which may have several statements.
func Classify(sql string) Info {
	scan := &scanner{text: sql}
	info := Info{ReadOnly: true}
	count := 0
	for {
		words, more := nextStatement(scan)
		if len(words) > 0 {
			classifyStatement(words, count == 0, &info)
			count++
		}
		if !more {
			break
		}
	}
	info.Empty = count == 0
	info.Kind = kindFromComments(scan.comments)
	if count == 1 {
		info.Parameter = dewknotParameter(sql)
	}
	if info.Parameter != nil {
		info.Unsupported = ""
	}
	return info
}

// nextStatement returns the tokens up to the next semicolon; more is false at the end of the text.
func nextStatement(scan *scanner) (tokens []token, more bool) {
	for {
		next, ok := scan.next()
		if !ok {
			return tokens, false
		}
		if next.text == ";" {
			return tokens, true
		}
		tokens = append(tokens, next)
	}
}

func classifyStatement(tokens []token, first bool, info *Info) {
	control, mayCommit := transactionControl(tokens)
	if control == Begin && info.MayCommit {
		info.Unsupported = "BEGIN after COMMIT in one message"
	}
	if first {
		info.Control = control
	}
	info.MayCommit = info.MayCommit || mayCommit
	if feature := unsupported(tokens); feature != "" && info.Unsupported == "" {
		info.Unsupported = feature
	}
	info.ReadOnly = info.ReadOnly && (isPlainRead(tokens) || isReadOnlyBegin(tokens, control))
}

func transactionControl(tokens []token) (Control, bool) {
	switch tokens[0].text {
	case "BEGIN", "START":
		return Begin, false
	case "COMMIT", "END":
		return Commit, true
	case "ROLLBACK", "ABORT":
		if containsWord(tokens, "TO") {
			return NoControl, false
		}
		return Rollback, false
	default:
		return NoControl, false
	}
}

// isReadOnlyBegin recognizes BEGIN READ ONLY, which a replica can run.
func isReadOnlyBegin(tokens []token, control Control) bool {
	return control == Begin && containsWord(tokens, "ONLY") && !containsWord(tokens, "WRITE")
}

func isPlainRead(tokens []token) bool {
	switch tokens[0].text {
	case "SELECT", "WITH", "VALUES", "TABLE", "(":
		return hasNoSideEffect(tokens)
	case "SHOW":
		return true
	default:
		return false
	}
}

func hasNoSideEffect(tokens []token) bool {
	for index, current := range tokens {
		if !current.word && current.text != "\"" {
			continue
		}
		if writeWords[current.text] {
			return false
		}
		hasNext := index+1 < len(tokens)
		if hasNext && current.text == "FOR" && lockWords[tokens[index+1].text] {
			return false
		}
		if hasNext && tokens[index+1].text == "(" && !pureFunctions[current.text] && !isTableAlias(tokens, index) {
			return false
		}
	}
	return true
}

// isTableAlias recognizes "WITH [RECURSIVE] name (columns)", where name isn't a function.
func isTableAlias(tokens []token, index int) bool {
	if index == 0 {
		return false
	}
	previous := tokens[index-1].text
	return previous == "WITH" || previous == "RECURSIVE" && index > 1 && tokens[index-2].text == "WITH"
}

func unsupported(tokens []token) string {
	head := tokens[0].text
	if feature, found := sessionStatements[head]; found {
		return feature
	}
	second := ""
	if len(tokens) > 1 {
		second = tokens[1].text
	}
	switch {
	case (head == "COMMIT" || head == "END" || head == "ROLLBACK") &&
		containsWord(tokens, "CHAIN") && !containsWord(tokens, "NO"):
		return "AND CHAIN"
	case head == "SET" && second != "LOCAL" && second != "TRANSACTION":
		return "session-level SET"
	case head == "RESET":
		return "RESET"
	case head == "CREATE" && (containsWord(tokens[:min(5, len(tokens))], "TEMP") ||
		containsWord(tokens[:min(5, len(tokens))], "TEMPORARY")):
		return "temporary tables"
	case head == "COMMIT" && second == "PREPARED", head == "ROLLBACK" && second == "PREPARED":
		return "two-phase commit"
	}
	for _, current := range tokens {
		if current.word && isAdvisoryLock(current.text) {
			return "session-level advisory locks"
		}
	}
	return ""
}

func isAdvisoryLock(word string) bool {
	return strings.HasPrefix(word, "PG_ADVISORY_") && !strings.HasPrefix(word, "PG_ADVISORY_XACT") ||
		strings.HasPrefix(word, "PG_TRY_ADVISORY_") && !strings.HasPrefix(word, "PG_TRY_ADVISORY_XACT")
}

func containsWord(tokens []token, word string) bool {
	for _, current := range tokens {
		if current.word && current.text == word {
			return true
		}
	}
	return false
}

// kindFromComments returns the request kind given in sqlcommenter comments
// (https://google.github.io/sqlcommenter/spec/): key='url-encoded value', ....
func kindFromComments(comments []string) string {
	for _, comment := range comments {
		for _, pair := range strings.Split(comment, ",") {
			key, value, found := strings.Cut(strings.TrimSpace(pair), "=")
			if !found || strings.TrimSpace(key) != "kind" {
				continue
			}
			decoded, err := url.QueryUnescape(strings.Trim(strings.TrimSpace(value), "'"))
			if err == nil {
				return decoded
			}
		}
	}
	return ""
}

// dewknotParameter recognizes SET dewknot.x = 'v', SET dewknot.x TO v and SHOW dewknot.x.
// It returns nil for other statements.
func dewknotParameter(sql string) *Parameter {
	text := strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(sql), ";"))
	verb, rest := cutWord(text)
	rest = strings.TrimSpace(rest)
	switch {
	case strings.EqualFold(verb, "SHOW"):
		if !hasFoldPrefix(rest, parameterPrefix) {
			return nil
		}
		return &Parameter{Show: true, Name: strings.ToLower(rest[len(parameterPrefix):])}
	case strings.EqualFold(verb, "SET"):
		if scope, after := cutWord(rest); strings.EqualFold(scope, "SESSION") {
			rest = strings.TrimSpace(after)
		}
		return setParameter(rest)
	default:
		return nil
	}
}

func setParameter(rest string) *Parameter {
	if !hasFoldPrefix(rest, parameterPrefix) {
		return nil
	}
	rest = rest[len(parameterPrefix):]
	end := strings.IndexAny(rest, " \t\n=")
	if end < 0 {
		return nil
	}
	value := strings.TrimSpace(rest[end:])
	if strings.HasPrefix(value, "=") {
		value = value[1:]
	} else if hasFoldPrefix(value, "TO ") {
		value = value[len("TO "):]
	}
	value = strings.TrimSpace(value)
	if len(value) >= 2 && value[0] == '\'' && value[len(value)-1] == '\'' {
		value = strings.ReplaceAll(value[1:len(value)-1], "''", "'")
	}
	return &Parameter{Name: strings.ToLower(rest[:end]), Value: value}
}

func cutWord(text string) (word, rest string) {
	end := strings.IndexAny(text, " \t\n")
	if end < 0 {
		return text, ""
	}
	return text[:end], text[end:]
}

func hasFoldPrefix(text, prefix string) bool {
	return len(text) >= len(prefix) && strings.EqualFold(text[:len(prefix)], prefix)
}

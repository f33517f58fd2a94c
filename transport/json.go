package transport

// Lengths within a JSON string literal.
const (
	quotes        = len(`""`)
	longestEscape = len(`\u0000`) // of one byte
	shortEscape   = len(`\\`)     // of a quotation mark or a backslash
)

// QuotedBytes returns the length of s as a JSON string literal as encoding/json writes it, at most.
func QuotedBytes(s string) int {
	size := quotes
	for i := range len(s) {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			size += shortEscape
		case c < ' ' || c >= 0x7f || c == '<' || c == '>' || c == '&':
			size += longestEscape
		default:
			size++
		}
	}
	return size
}

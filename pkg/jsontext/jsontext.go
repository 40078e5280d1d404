// Package jsontext scans valid JSON without decoding its values.
package jsontext

// StringLen returns the length in bytes, including the quotes, of the JSON string at the start of
// data, or len(data) if the string isn't terminated.
func StringLen(data []byte) int {
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data)
}

// Separators returns the number of commas at a depth; the outermost list or object is at depth 1.
func Separators(data []byte, depth int) int {
	count, at := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i += StringLen(data[i:]) - 1
		case '{', '[':
			at++
		case '}', ']':
			at--
		case ',':
			if at == depth {
				count++
			}
		}
	}
	return count
}

// Prune replaces the lists and objects at a depth greater than maxDepth by null; the outermost value
// is at depth 1.
func Prune(data []byte, maxDepth int) []byte {
	out := make([]byte, 0, len(data))
	depth := 0
	for i := 0; i < len(data); i++ {
		length := 1
		switch data[i] {
		case '"':
			length = StringLen(data[i:])
		case '{', '[':
			if depth++; depth == maxDepth+1 {
				out = append(out, "null"...)
			}
		case '}', ']':
			if depth--; depth >= maxDepth {
				continue
			}
		}
		if depth <= maxDepth {
			out = append(out, data[i:i+length]...)
		}
		i += length - 1
	}
	return out
}

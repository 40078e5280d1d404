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

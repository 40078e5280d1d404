// Package jsontext reads the shape of valid JSON without reading its values.
package jsontext

// QuotedBytes is the length, with its quotes, of the text that data begins with.
func QuotedBytes(data []byte) int {
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

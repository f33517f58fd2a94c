package http1

import "strconv"

// AppendRequestLine starts a request with its first line and the Host field. AppendField adds further fields,
// AppendBody ends the head.
func AppendRequestLine(b []byte, method, path, host string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\n"...)
	return AppendField(b, "Host", host)
}

// AppendField adds a field to a head. Neither name nor value may contain a line's end.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendBody ends the head with the Content-Length field and adds the body.
func AppendBody(b, body []byte) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

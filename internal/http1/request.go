package http1

import "strconv"

// AppendRequestLine appends the request line and the Host field. Further fields are added by AppendField; AppendBody
// ends the head.
func AppendRequestLine(b []byte, method, path, host string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\n"...)
	return AppendField(b, "Host", host)
}

// AppendField appends a header field. Neither name nor value may contain a line break.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendBody appends the Content-Length field, the end of the head and the body.
func AppendBody(b, body []byte) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}

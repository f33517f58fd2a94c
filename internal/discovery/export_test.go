package discovery

import "time"

// SetAfterFunc replaces time.AfterFunc for tests outside the package.
func (c *Client) SetAfterFunc(afterFunc func(time.Duration, func()) *time.Timer) {
	c.afterFunc = afterFunc
}

package discovery

import "time"

// SetAfterFunc puts another in the place of time.AfterFunc, for tests outside of the package.
func (c *Client) SetAfterFunc(afterFunc func(time.Duration, func()) *time.Timer) {
	c.afterFunc = afterFunc
}

package discovery

import "time"

// SetAfterFunc puts another in the place of time.AfterFunc, for tests outside of the package.
func (d *Client) SetAfterFunc(afterFunc func(time.Duration, func()) *time.Timer) {
	d.afterFunc = afterFunc
}

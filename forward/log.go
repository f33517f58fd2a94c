package forward

import (
	"fmt"

	"github.com/rs/zerolog"
)

// networkLog takes what nbio logs. Its levels but for errors say nothing to on-call staff.
type networkLog struct{ log zerolog.Logger }

func (n networkLog) SetLevel(int)         {}
func (n networkLog) Debug(string, ...any) {}
func (n networkLog) Info(string, ...any)  {}
func (n networkLog) Warn(string, ...any)  {}
func (n networkLog) Error(format string, v ...any) {
	n.log.Error().Str("why", fmt.Sprintf(format, v...)).Msg("network")
}

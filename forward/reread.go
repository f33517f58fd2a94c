package forward

import (
	"reflect"
)

// reread takes up what may change while the forwarder runs: where discovery is. What an order that cannot be read says
// counts for nothing; what else it changes waits for the next start.
func (o *owner) reread() {
	if o.order.Reread == nil {
		return
	}
	next, err := o.order.Reread()
	if err != nil {
		o.log.Error().Str("why", err.Error()).Msg("order not taken up")
		return
	}
	was := o.order
	var later []string
	for _, f := range []struct {
		name     string
		old, new any
	}{{"name", was.Name, next.Name}, {"listen", was.Listen, next.Listen}, {"state", was.Folder, next.Folder},
		{"limits", [4]float64{float64(was.MemoryMB), float64(was.Sockets), float64(was.DiskMB), was.Cores},
			[4]float64{float64(next.MemoryMB), float64(next.Sockets), float64(next.DiskMB), next.Cores}},
		{"settings", [2]any{o.asRead, was.Fronts}, [2]any{next.Terms, next.Fronts}}} {
		if !reflect.DeepEqual(f.old, f.new) {
			later = append(later, f.name)
		}
	}
	if next.told != was.told { // else a variable at the start may have gone before it
		was.told, was.Discovery = next.told, next.told
		o.dir.Move(was.Discovery, o.rev)
	}
	o.log.Info().Str("discovery", was.Discovery).Strs("at_next_start", later).Msg("order taken up")
}

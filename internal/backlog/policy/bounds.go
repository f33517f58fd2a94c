package policy

import (
	"fmt"
	"time"
)

// Bounds is the settings of a policy.
type Bounds struct {
	Bytes            int64            // stored messages in all
	DestinationBytes int64            // of one destination
	TenantBytes      int64            // of one tenant
	Tenants          map[uint32]int64 // bytes of tenants with a bound of their own
	// Window is how many messages of a lane stay in memory before those that are stored.
	Window int
	// Behind is how many messages of a lane stay in memory while its destination serves it and none is stored; more
	// means that it is far behind.
	Behind int
	// Memory is how many messages of all lanes together stay in memory before new ones are stored; 0: no bound.
	Memory int
	// Batch is how many messages come back in one turn of the event loop, over all lanes.
	Batch int
	// ExpiryLead is how long before its expiry a stored message is brought back to be answered.
	ExpiryLead time.Duration
}

// Check returns an error that names the field that is wrong, as the configuration does.
func (b *Bounds) Check() error {
	switch {
	case b.Bytes <= 0:
		return fmt.Errorf("bytes: %d is not above 0", b.Bytes)
	case b.DestinationBytes <= 0 || b.DestinationBytes > b.Bytes:
		return fmt.Errorf("destination_bytes: %d is not between 1 and bytes (%d)", b.DestinationBytes, b.Bytes)
	case b.TenantBytes <= 0 || b.TenantBytes > b.Bytes:
		return fmt.Errorf("tenant_bytes: %d is not between 1 and bytes (%d)", b.TenantBytes, b.Bytes)
	case b.Window < 1:
		return fmt.Errorf("window: %d is less than 1", b.Window)
	case b.Behind < b.Window:
		return fmt.Errorf("behind: %d is less than window (%d)", b.Behind, b.Window)
	case b.Batch < 1:
		return fmt.Errorf("batch: %d is less than 1", b.Batch)
	case b.ExpiryLead <= 0:
		return fmt.Errorf("expiry_lead: %v is not above 0", b.ExpiryLead)
	}
	for tenant, bytes := range b.Tenants {
		if bytes <= 0 || bytes > b.Bytes {
			return fmt.Errorf("tenants: %d of tenant %d is not between 1 and bytes (%d)", bytes, tenant, b.Bytes)
		}
	}
	return nil
}

// tenant returns how many bytes of a tenant may be stored.
func (b *Bounds) tenant(tenant uint32) int64 {
	if own, ok := b.Tenants[tenant]; ok {
		return own
	}
	return b.TenantBytes
}

const (
	batch       = 256 // messages that come back in one turn of the event loop
	expiryBatch = 512 // messages that are answered at the end of their time in one turn of the event loop
	expiryLead  = 3 * time.Second
)

// WithDefaults fills in the fields that operators do not set; capacity is how many messages the scheduler holds at
// once.
func (b Bounds) WithDefaults(capacity int) Bounds {
	b.Memory = max(1, int(memoryFraction*float64(capacity)))
	b.Batch = batch
	b.ExpiryLead = expiryLead
	return b
}

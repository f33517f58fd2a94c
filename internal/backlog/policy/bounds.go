package policy

import (
	"fmt"
	"time"
)

// Bounds holds the limits and other settings of a policy.
type Bounds struct {
	Bytes            int64            // limit for all stored messages together
	DestinationBytes int64            // limit for the stored messages of one destination
	TenantBytes      int64            // limit for the stored messages of a tenant that is not in Tenants
	Tenants          map[uint32]int64 // limits in bytes for individual tenants
	// Window is how many messages of a lane are kept in memory while later ones are stored.
	Window int
	// Behind is the maximum number of messages that a lane with no stored messages keeps in memory while its
	// destination is available. Beyond it the lane counts as far behind, and its messages are stored.
	Behind int
	// Memory is the maximum number of messages of all lanes in memory; beyond it new messages are stored. 0 means
	// unlimited.
	Memory int
	// Batch is the maximum number of messages of all lanes that are moved in one turn of the event loop.
	Batch int
	// ExpiryLead is how long before its expiry a stored message is loaded so that it can be answered in time.
	ExpiryLead time.Duration
}

// Check validates the bounds. Its error begins with the name that the invalid field has in the configuration.
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

// tenantLimit returns the maximum number of bytes that may be stored for a tenant.
func (b *Bounds) tenantLimit(tenant uint32) int64 {
	if limit, ok := b.Tenants[tenant]; ok {
		return limit
	}
	return b.TenantBytes
}

const (
	batch       = 256 // messages moved per turn of the event loop
	expiryBatch = 512 // expired messages answered per turn of the event loop
	expiryLead  = 3 * time.Second
)

// WithDefaults sets the fields that operators cannot configure. capacity is the maximum number of messages that the
// scheduler holds at once.
func (b Bounds) WithDefaults(capacity int) Bounds {
	b.Memory = max(1, int(memoryFraction*float64(capacity)))
	b.Batch = batch
	b.ExpiryLead = expiryLead
	return b
}

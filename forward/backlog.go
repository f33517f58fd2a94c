package forward

// Backlog is what an order says of the store in which messages wait for destinations that are out or far behind.
type Backlog struct {
	Folder           string
	Bytes            int64 // on disk, all files counted
	DestinationBytes int64 // of stored messages of one destination; 0: no bound of their own
	TenantBytes      int64 // of stored messages of one tenant; 0: no bound of their own
	Window           int   // messages of a lane (destination and tenant) that stay in memory before those that are stored
	Behind           int   // messages of a lane beyond which its destination counts as far behind
}

package sealer

// Seal exposes sealing to tests.
func Seal(c *Conn) { c.seal() }

package sealer

// Seal exports Conn.seal for tests.
func Seal(c *Conn) { c.seal() }

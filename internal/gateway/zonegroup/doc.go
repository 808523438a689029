// Package zonegroup keeps a gateway's session with the controllers of its zone:
// it opens the session, sends heartbeats, puts views in force, and calls the
// group for once-only requests. Configuration comes from here and from nowhere
// else, because the zone group has stored it durably.
package zonegroup

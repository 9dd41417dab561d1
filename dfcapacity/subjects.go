package dfcapacity

// parts are the measurements in the order in which they run. Those that need
// little memory come first, so that their differences are not disturbed.
func parts() []part {
	return []part{
		{"callers' positions", (*measurement).positions},
		{"audit records", (*measurement).audit},
		{"classified statements", (*measurement).classification},
		{"configuration snapshots", (*measurement).configuration},
	}
}

var subjects = []subject{
	{"position.memory", "memory of positions", "B", "callers"},
	{"position.notified", "processor time of notifications taken", "s", "notifications"},
	{"position.write", "processor time of writes recorded, four peers", "s", "writes"},
	{"position.ask", "processor time of positions looked up", "s", "reads"},
	{"audit.memory", "memory of records that wait", "B", "records"},
	{"audit.time", "processor time of records added", "s", "records"},
	{"audit.bytes", "bytes of stored records", "B", "records"},
	{"classify.memory", "Go memory of classified statements", "B", "statements"},
	{"classify.parse", "processor time of parsing", "s", "statements"},
	{"classify.hit", "processor time of finding in the cache", "s", "statements"},
	{"config.memory", "memory of a configuration in force", "B", "services"},
	{"config.whole", "bytes of a whole configuration, compressed", "B", "services"},
	{"config.start", "processor time of taking a whole configuration", "s", "services"},
	{"config.deliver", "processor time of one document taken by itself", "s", "services"},
	{"config.difference", "bytes of a change of one service", "B", "services"},
	{"config.change", "processor time of adopting one change", "s", "services"},
}

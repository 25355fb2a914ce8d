package simnet

// Stats counts the events of a simulation, and its faults by kind. The names of the fields are JSON keys of reports, and
// cataloguectl prints them.
type Stats struct {
	Events           uint64
	Rounds           uint64 // calls of EpollWait
	Segments         uint64
	Connections      uint64
	PartialReads     uint64
	PartialWrites    uint64
	Refused          uint64 // connects to an address without a listener
	Resets           uint64
	OutOfFiles       uint64 // calls that failed with EMFILE
	DatagramsLost    uint64
	DatagramsDoubled uint64
	Pauses           uint64
	Kills            uint64
	PartitionsHeld   uint64 // attempts to deliver a segment that failed because of a partition
}

// Add adds the counts of other to s.
func (s *Stats) Add(other Stats) {
	s.Events += other.Events
	s.Rounds += other.Rounds
	s.Segments += other.Segments
	s.Connections += other.Connections
	s.PartialReads += other.PartialReads
	s.PartialWrites += other.PartialWrites
	s.Refused += other.Refused
	s.Resets += other.Resets
	s.OutOfFiles += other.OutOfFiles
	s.DatagramsLost += other.DatagramsLost
	s.DatagramsDoubled += other.DatagramsDoubled
	s.Pauses += other.Pauses
	s.Kills += other.Kills
	s.PartitionsHeld += other.PartitionsHeld
}

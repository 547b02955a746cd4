package network

// Capacity is what a node may use of its machine; zero for what is not known.
type Capacity struct {
	// Processors is how many processors' time it may use.
	Processors float64 `json:"processors,omitempty"`
	// LinkMbps is what its link carries, in Mbit/s.
	LinkMbps float64 `json:"link,omitempty"`
	// MemoryMB is its memory in MiB.
	MemoryMB int `json:"memory,omitempty"`
}

// What work on a server's connections uses beside a whole processor: about 5,000 statements
// a second take one at the owner, and with 300 bytes of request and answer each way they
// fill 25 Mbit/s. Sessions and answers that wait for slow askers are held in memory; a quarter
// of a GiB bears as many as a processor.
const (
	linkMbpsPerProcessor = 25
	memoryMBPerProcessor = 256
)

// Weight is how much of other nodes' work a node can own: the scarcest of what it tells, as
// the number of processors of which the rest would be in proportion. Zero if it tells none.
func (c Capacity) Weight() float64 {
	weight := 0.0
	for _, part := range []float64{c.Processors, c.LinkMbps / linkMbpsPerProcessor, float64(c.MemoryMB) / memoryMBPerProcessor} {
		if part > 0 && (weight == 0 || part < weight) {
			weight = part
		}
	}
	return weight
}

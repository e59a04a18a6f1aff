package store

// recordOverhead is what a store may count, in bytes, for a record besides its key and value.
const recordOverhead = 16

// Bounds are the most bytes that a store takes at a time. 0 means no bound.
type Bounds struct {
	// RecordBytes bounds one record, and CallBytes all records of one append.
	RecordBytes, CallBytes int
}

// Split divides records into appends that the store takes, in their order.
func (b Bounds) Split(records []Record) [][]Record {
	if b.CallBytes <= 0 {
		return [][]Record{records}
	}
	var calls [][]Record
	first, size := 0, 0
	for i, record := range records {
		bytes := recordBytes(record)
		if i > first && size+bytes > b.CallBytes {
			calls = append(calls, records[first:i])
			first, size = i, 0
		}
		size += bytes
	}
	return append(calls, records[first:])
}

// Accepts reports whether the store takes records in one append.
func (b Bounds) Accepts(records []Record) bool {
	size := 0
	for _, record := range records {
		bytes := recordBytes(record)
		if b.RecordBytes > 0 && bytes > b.RecordBytes {
			return false
		}
		size += bytes
	}
	return b.CallBytes <= 0 || size <= b.CallBytes
}

// recordBytes returns the most that a store counts for a record.
func recordBytes(record Record) int { return len(record.Key) + len(record.Value) + recordOverhead }

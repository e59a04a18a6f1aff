package store

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// maxPages is the maximum number of pages of one listing.
const maxPages = 1000

// Listing holds the newest record of each key of a partition.
type Listing struct {
	Records []Record
	// End is the offset up to which the listing is guaranteed to be complete.
	End int64
	// AsOf is the time as of which the records are known to be the newest.
	AsOf time.Time
}

// Update is what a Watcher has read.
type Update struct {
	// Records holds the newest record of each key that changed, at most one for each key; one
	// without a value deletes its key.
	Records []Record
	// Replaced holds the records that were read, too, and that a later one of the same key follows.
	Replaced []Record
	// Complete: these are all keys, and all others are gone.
	Complete bool
}

// newestOfEach returns the last record of each key, in order, and the records before those.
func newestOfEach(records []Record) (newest, replaced []Record) {
	seen := make(map[string]bool, len(records))
	newest = make([]Record, 0, len(records))
	for _, record := range slices.Backward(records) {
		if seen[record.Key] {
			replaced = append(replaced, record)
			continue
		}
		seen[record.Key] = true
		newest = append(newest, record)
	}
	slices.Reverse(newest)
	slices.Reverse(replaced)
	return newest, replaced
}

// Newest reads the newest record of each key, page by page. end is the offset up to which the
// listing is guaranteed to be complete. A caller that continues to read from end misses nothing,
// but may see some of the listed records again.
func Newest(ctx context.Context, s Store, partition Partition) (records []Record, end int64, err error) {
	return ListNewest(func(after string) (Page, error) { return s.NewestPage(ctx, partition, after) })
}

// ListNewest is like Newest, with a function that reads one page.
func ListNewest(readPage func(after string) (Page, error)) (records []Record, end int64, err error) {
	after := ""
	for number := range maxPages {
		page, err := readPage(after)
		if err != nil {
			return nil, 0, err
		}
		if number == 0 {
			end = page.End // later pages may contain records beyond this offset
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return records, end, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
	return nil, 0, eris.Wrap(ErrMalformed, "the list of newest records does not end")
}

// ApplyNewest updates known, the newest record of each key, with the records that follow. A record
// without a value deletes its key.
func ApplyNewest(known map[string]Record, records []Record) {
	for _, record := range records {
		if len(record.Value) == 0 {
			delete(known, record.Key)
			continue
		}
		known[record.Key] = record
	}
}

// SizeOf returns the total size of the records' keys and values in bytes.
func SizeOf(records []Record) int {
	size := 0
	for _, record := range records {
		size += len(record.Key) + len(record.Value)
	}
	return size
}

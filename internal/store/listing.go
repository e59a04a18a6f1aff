package store

import (
	"context"

	"github.com/rotisserie/eris"
)

// pageLimit bounds the pages of one listing.
const pageLimit = 1000

// Newest reads the newest record of each key, page by page. end is the offset
// behind the last record that all pages are sure to cover: who goes on to read
// from there misses nothing, and may meet records again that it has.
func Newest(ctx context.Context, s Store, partition Partition) (records []Record, end int64, err error) {
	return ListNewest(func(after string) (Page, error) { return s.NewestPage(ctx, partition, after) })
}

// ListNewest is Newest over a function that reads a page.
func ListNewest(readPage func(after string) (Page, error)) (records []Record, end int64, err error) {
	after := ""
	for number := range pageLimit {
		page, err := readPage(after)
		if err != nil {
			return nil, 0, err
		}
		if number == 0 {
			end = page.End // later pages may show later records
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return records, end, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
	return nil, 0, eris.Wrap(ErrMalformed, "the list of newest records does not end")
}

// ApplyNewest takes records that follow those known into the newest record of each
// key: a record without a value drops its key.
func ApplyNewest(known map[string]Record, records []Record) {
	for _, record := range records {
		if len(record.Value) == 0 {
			delete(known, record.Key)
			continue
		}
		known[record.Key] = record
	}
}

// SizeOf returns the bytes of records' keys and values.
func SizeOf(records []Record) int {
	size := 0
	for _, record := range records {
		size += len(record.Key) + len(record.Value)
	}
	return size
}

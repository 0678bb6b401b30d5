package leaser

import (
	"maps"

	"github.com/waxwingmount/waxwingmount/pkg/provider"
)

const testKey = "leases/x"

// tableState is a table with eras.
type tableState struct {
	era     uint64
	numbers map[string]uint64
	values  map[string][]byte
	last    uint64
}

func newTableState() tableState {
	return tableState{numbers: make(map[string]uint64), values: make(map[string][]byte)}
}

func (s tableState) clone() tableState {
	s.numbers, s.values = maps.Clone(s.numbers), maps.Clone(s.values)
	return s
}

func (s tableState) read(key string) provider.Row {
	return provider.Row{Key: key, Version: provider.Version{Era: s.era, Number: s.numbers[key]}, Value: s.values[key]}
}

// apply commits a transaction as the platform does, which knows no eras of guards.
func (s *tableState) apply(tx provider.Transaction) provider.Outcome {
	for _, g := range tx.Guards {
		if s.numbers[g.Key] != g.Version.Number {
			return provider.Outcome{Conflicts: []provider.Row{s.read(g.Key)}}
		}
	}
	if len(tx.Writes) == 0 {
		return provider.Outcome{}
	}
	s.last++
	for _, w := range tx.Writes {
		s.numbers[w.Key], s.values[w.Key] = s.last, w.Value
	}
	return provider.Outcome{Committed: true}
}

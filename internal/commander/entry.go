package commander

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/operator"
	"github.com/waxwingmount/waxwingmount/pkg/gossiper"
)

func init() {
	register(command{parent: "entry", name: "list", help: "List the live entry instances.", setup: entryList})
	register(command{parent: "entry", name: "drain", help: "Shut down an entry instance gracefully.", setup: entryDrain})
	register(command{name: "status", help: "Show the status of the system.", setup: status})
}

func entryList(_ *flaggy.Subcommand) func(*session) error {
	return func(s *session) error {
		var members []gossiper.Member
		if err := s.client.call(http.MethodGet, "/operator/entries", nil, &members); err != nil {
			return err
		}
		return s.print(members, func() [][]string { return entryRows(members) })
	}
}

func entryRows(members []gossiper.Member) [][]string {
	rows := [][]string{{"ENTRY", "DATA CENTRE", "ADDRESS", "CONFIG", "LEAVING"}}
	for _, m := range members {
		rows = append(rows, []string{
			m.ID, m.DataCentre, m.Caller.String(),
			strconv.FormatUint(m.ConfigVersion, 10), strconv.FormatBool(m.Leaving),
		})
	}
	return rows
}

func entryDrain(sub *flaggy.Subcommand) func(*session) error {
	call := operator.EntryRequest{}
	sub.AddPositionalValue(&call.ID, "entry", 1, true, "The name of the entry instance.")
	return func(s *session) error {
		if err := s.client.call(http.MethodPost, "/operator/entries/drain", call, &operator.Empty{}); err != nil {
			return err
		}
		fmt.Fprintf(s.out, "entry %s leaves\n", call.ID)
		return nil
	}
}

func status(_ *flaggy.Subcommand) func(*session) error {
	return func(s *session) error {
		var st operator.Status
		if err := s.client.call(http.MethodGet, "/operator/status", nil, &st); err != nil {
			return err
		}
		return s.print(st, func() [][]string {
			rows := [][]string{
				{"seen from", st.Entry},
				{"control lease", st.Leader},
				{"configuration", strconv.FormatUint(st.Config.Accepted.Version, 10), "in force everywhere: " + strconv.FormatBool(st.Config.InForce)},
				{"instances listed", strconv.Itoa(len(st.Instances))},
				{},
			}
			rows = append(rows, entryRows(st.Entries)...)
			rows = append(rows, []string{})
			return append(rows, groupRows(st.Groups)...)
		})
	}
}

package commander

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/waxwingmount/waxwingmount/internal/operator"
	"github.com/waxwingmount/waxwingmount/pkg/grouper"
)

func init() {
	register(command{parent: "group", name: "list", help: "List the replica groups.", setup: groupList})
	register(command{parent: "group", name: "create", help: "Create a replica group from unassigned instances.", setup: groupCreate})
	register(command{parent: "group", name: "drain", help: "Stop sending new requests to a group.", setup: groupDrain})
	register(command{parent: "group", name: "delete", help: "Disband a drained group.", setup: groupDelete})
}

func groupList(_ *flaggy.Subcommand) func(*session) error {
	return func(s *session) error {
		var groups []operator.GroupStatus
		if err := s.client.call(http.MethodGet, "/operator/groups", nil, &groups); err != nil {
			return err
		}
		return s.print(groups, func() [][]string { return groupRows(groups) })
	}
}

func groupRows(groups []operator.GroupStatus) [][]string {
	rows := [][]string{{"GROUP", "MODEL", "VERSION", "DOMAIN", "FENCE", "GATE", "INSTANCES"}}
	for _, g := range groups {
		var members []string
		for _, m := range g.Members {
			members = append(members, m.Instance)
		}
		rows = append(rows, []string{
			g.ID, g.Model, g.ModelVersion, g.FabricDomain,
			strconv.FormatUint(g.Fence, 10), g.Verdict, strings.Join(members, ","),
		})
	}
	return rows
}

func groupCreate(sub *flaggy.Subcommand) func(*session) error {
	call := operator.GroupRequest{}
	instances := ""
	sub.AddPositionalValue(&call.ID, "group", 1, true, "The name of the group.")
	sub.String(&call.Model, "", "model", "The model that the group serves.")
	sub.String(&call.ModelVersion, "", "version", "The version of the model.")
	sub.String(&instances, "", "instances", "The instances, the head first, separated by commas.")
	return func(s *session) error {
		if call.Model == "" || instances == "" {
			return usagef("create group", "--model and --instances are required")
		}
		call.Instances = strings.Split(instances, ",")
		var group grouper.Group
		if err := s.client.call(http.MethodPost, "/operator/groups", call, &group); err != nil {
			return err
		}
		fmt.Fprintf(s.out, "group %s created\n", group.ID)
		return nil
	}
}

func groupDrain(sub *flaggy.Subcommand) func(*session) error {
	return groupAction(sub, "/operator/groups/drain", "drains")
}

func groupDelete(sub *flaggy.Subcommand) func(*session) error {
	return groupAction(sub, "/operator/groups/delete", "deleted")
}

func groupAction(sub *flaggy.Subcommand, path, done string) func(*session) error {
	call := operator.GroupRequest{}
	sub.AddPositionalValue(&call.ID, "group", 1, true, "The name of the group.")
	return func(s *session) error {
		if err := s.client.call(http.MethodPost, path, call, &operator.Empty{}); err != nil {
			return err
		}
		fmt.Fprintf(s.out, "group %s %s\n", call.ID, done)
		return nil
	}
}

package cli

import (
	"strconv"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/api/operatorapi"
)

func (a *application) controllerListCommand() *cobra.Command {
	var group string
	command := &cobra.Command{
		Use:   "list",
		Short: "List the members of the zone groups, or of one group",
		Args:  cobra.NoArgs,
	}
	command.Flags().StringVar(&group, "group", "", "group: "+operatorapi.GroupConfig+" or a zone (default all zones)")
	command.RunE = func(command *cobra.Command, _ []string) error {
		client, err := a.client()
		if err != nil {
			return err
		}
		if group != "" {
			members, err := client.Members(command.Context(), group)
			if err != nil {
				return explainRead(err)
			}
			return a.printMembers(members)
		}
		zones, err := client.Zones(command.Context())
		if err != nil {
			return explainRead(err)
		}
		return a.print(zones, func() table { return allMembersTable(zones.Zones) })
	}
	return a.operatorCommand(command)
}

func (a *application) printMembers(members operatorapi.MemberList) error {
	return a.print(members, func() table {
		content := newMemberTable()
		addMembers(&content, members.Group)
		return content
	})
}

func newMemberTable() table {
	return table{header: []string{"group", "replica", "address", "vote", "leads", "active", "log position"}}
}

func allMembersTable(zones []operatorapi.ZoneState) table {
	content := newMemberTable()
	for _, zone := range zones {
		addMembers(&content, zone.Group)
	}
	addUnreached(&content, zones)
	return content
}

func addMembers(content *table, group operatorapi.GroupState) {
	for _, member := range group.Members {
		content.add(group.Name, member.ReplicaID, member.Address, yesNo(!member.Learner),
			yesNo(member.ReplicaID == group.Leader), yesNo(member.Active), member.MatchIndex)
	}
	if group.Problem != "" {
		content.note("group %s: %s", group.Name, group.Problem)
	}
}

func (a *application) controllerAddCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "add ADDRESS",
		Short: "Add the new replica at ADDRESS to a group, first without a vote",
		Args:  cobra.ExactArgs(1),
	}
	return a.memberCommand(command, func(arguments []string) (operatorapi.MemberCommand, error) {
		return operatorapi.MemberCommand{Action: operatorapi.MemberAdd, Address: arguments[0]}, nil
	})
}

func (a *application) controllerPromoteCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "promote REPLICA",
		Short: "Give a replica that has caught up its vote",
		Args:  cobra.ExactArgs(1),
	}
	return a.memberCommand(command, func(arguments []string) (operatorapi.MemberCommand, error) {
		return replicaCommand(operatorapi.MemberPromote, arguments[0], "")
	})
}

func (a *application) controllerRemoveCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "remove REPLICA",
		Short: "Remove a replica from a group",
		Args:  cobra.ExactArgs(1),
	}
	return a.memberCommand(command, func(arguments []string) (operatorapi.MemberCommand, error) {
		return replicaCommand(operatorapi.MemberRemove, arguments[0], "")
	})
}

func (a *application) controllerReplaceCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "replace REPLICA ADDRESS",
		Short: "Put the new replica at ADDRESS in the place of one whose data is lost",
		Args:  cobra.ExactArgs(2),
	}
	return a.memberCommand(command, func(arguments []string) (operatorapi.MemberCommand, error) {
		return replicaCommand(operatorapi.MemberReplace, arguments[0], arguments[1])
	})
}

func replicaCommand(action operatorapi.MemberAction, replica, address string) (operatorapi.MemberCommand, error) {
	id, err := strconv.ParseUint(replica, 10, 64)
	if err != nil || id == 0 {
		return operatorapi.MemberCommand{}, usagef("controller %s: %q is not the number of a replica; `controller list` shows them", action, replica)
	}
	return operatorapi.MemberCommand{Action: action, ReplicaID: id, Address: address}, nil
}

// memberCommand completes a command that changes a group's members.
func (a *application) memberCommand(command *cobra.Command, build func(arguments []string) (operatorapi.MemberCommand, error)) *cobra.Command {
	var group string
	command.Flags().StringVar(&group, "group", "", "group: "+operatorapi.GroupConfig+" or a zone")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		if group == "" {
			return usagef("%s: --group is needed", command.CommandPath())
		}
		change, err := build(arguments)
		if err != nil {
			return err
		}
		client, err := a.client()
		if err != nil {
			return err
		}
		members, err := client.CommandMembers(command.Context(), group, change)
		if err != nil {
			return err
		}
		return a.printMembers(members)
	}
	return a.operatorCommand(command)
}

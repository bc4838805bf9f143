package cmd

import (
	"context"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/internal/differ"
	"github.com/flamingotack/flamingotack/internal/folder"
)

const forceFlag = "force"

// outOfServiceKind describes what operators can take out of service: failure
// domains or backend servers.
type outOfServiceKind struct {
	// recordKind is the kind of the records that take one out of service or bring
	// it back.
	recordKind folder.Kind
	// label is the kind's name in messages.
	label string
	// matches reports whether a member is, or belongs to, the one of that name.
	matches func(m folder.Member, name string) bool
	// listAction prints all of the kind.
	listAction cli.ActionFunc
}

// newOutOfServiceCmd returns the command with its subcommands in, list and out.
func newOutOfServiceCmd(name, description string, k outOfServiceKind) *cli.Command {
	return &cli.Command{
		Name:        name,
		Usage:       fmt.Sprintf("take a %s out of service or bring it back", k.label),
		Description: description,
		Commands: []*cli.Command{
			{
				Name:      "in",
				Usage:     fmt.Sprintf("bring a %s back into service", k.label),
				ArgsUsage: "NAME",
				Flags:     append(changeFlags(), changeIDFlag(), k.newForceFlag()),
				Action:    func(ctx context.Context, c *cli.Command) error { return k.setOutOfService(ctx, c, false) },
			},
			{
				Name:   "list",
				Usage:  fmt.Sprintf("list every %s", k.label),
				Action: k.listAction,
			},
			{
				Name:      "out",
				Usage:     fmt.Sprintf("take a %s out of service: it gets no new work", k.label),
				ArgsUsage: "NAME",
				Flags:     append(changeFlags(), changeIDFlag(), k.newForceFlag()),
				Action:    func(ctx context.Context, c *cli.Command) error { return k.setOutOfService(ctx, c, true) },
			},
		},
	}
}

func (k outOfServiceKind) newForceFlag() cli.Flag {
	return &cli.BoolFlag{Name: forceFlag, Usage: fmt.Sprintf("proceed even if no node knows the %s", k.label)}
}

// setOutOfService runs the subcommands in and out.
func (k outOfServiceKind) setOutOfService(ctx context.Context, c *cli.Command, out bool) (err error) {
	name, err := onlyArgument(c, "NAME")
	if err != nil {
		return err
	}
	return applyEdit(ctx, c, func(state *folder.State) (r folder.Record, changes []differ.Change, err error) {
		known := slices.ContainsFunc(state.Members, func(m folder.Member) bool { return k.matches(m, name) })
		if !known && !k.isOutOfService(state, name) && !c.Bool(forceFlag) {
			return r, nil, usageErrorf("no node knows %s %q; see \"flamingotack status\", or use --%s", k.label, name, forceFlag)
		}
		r = folder.NewRecord(k.recordKind)
		r.OutOfServiceChange = &folder.OutOfServiceChange{Name: name, OutOfService: out}
		if k.isOutOfService(state, name) == out {
			return r, nil, nil
		}
		k.warnUnavailableServices(c, state, r)
		return r, []differ.Change{{
			Kind:  differ.Changed,
			Field: k.label + " " + name,
			Old:   inOrOut(!out),
			New:   inOrOut(out),
		}}, nil
	}, nil)
}

func (k outOfServiceKind) isOutOfService(state *folder.State, name string) bool {
	if k.recordKind == folder.KindDomain {
		return slices.Contains(state.DomainsOutOfService, name)
	}
	return slices.Contains(state.ServersOutOfService, name)
}

// warnUnavailableServices names the services that the change leaves without any
// backend server in service.
func (k outOfServiceKind) warnUnavailableServices(c *cli.Command, state *folder.State, r folder.Record) {
	r.BaseVersion = state.ConfigVersion
	next, _ := state.Fold(state.Offset+1, r)
	before, after := availableServices(state), availableServices(next)
	for _, service := range before {
		if !slices.Contains(after, service) {
			_, _ = fmt.Fprintf(c.Root().ErrWriter, "Warning: no backend server of %s stays in service.\n", service)
		}
	}
}

// availableServices returns the services with a backend server in service, sorted
// by name.
func availableServices(state *folder.State) (services []string) {
	for _, m := range state.Members {
		if !state.IsServerOutOfService(m) {
			services = append(services, m.Service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

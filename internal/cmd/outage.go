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

// outageKind is what failure domains and backend servers have in common for
// operators.
type outageKind struct {
	// record is the kind of the records.
	record folder.Kind
	// what names the kind to people.
	what string
	// known reports whether a member has that name.
	known func(m folder.Member, name string) bool
	// list prints all of the kind.
	list cli.ActionFunc
}

// newOutageCmd returns the command with its subcommands in, list and out.
func newOutageCmd(name, description string, k outageKind) *cli.Command {
	return &cli.Command{
		Name:        name,
		Usage:       fmt.Sprintf("take a %s out of service or bring it back", k.what),
		Description: description,
		Commands: []*cli.Command{
			{
				Name:      "in",
				Usage:     fmt.Sprintf("bring a %s back", k.what),
				ArgsUsage: "NAME",
				Flags:     append(changeFlags(), repeatFlag(), k.force()),
				Action:    func(ctx context.Context, c *cli.Command) error { return k.set(ctx, c, false) },
			},
			{
				Name:   "list",
				Usage:  fmt.Sprintf("list every %s", k.what),
				Action: k.list,
			},
			{
				Name:      "out",
				Usage:     fmt.Sprintf("take a %s out of service: it gets no new work", k.what),
				ArgsUsage: "NAME",
				Flags:     append(changeFlags(), repeatFlag(), k.force()),
				Action:    func(ctx context.Context, c *cli.Command) error { return k.set(ctx, c, true) },
			},
		},
	}
}

func (k outageKind) force() cli.Flag {
	return &cli.BoolFlag{Name: forceFlag, Usage: fmt.Sprintf("also when no node knows that %s", k.what)}
}

func (k outageKind) set(ctx context.Context, c *cli.Command, out bool) (err error) {
	name, err := onlyArgument(c, "NAME")
	if err != nil {
		return err
	}
	return applyEdit(ctx, c, func(state *folder.State) (r folder.Record, changes []differ.Change, err error) {
		known := slices.ContainsFunc(state.Members, func(m folder.Member) bool { return k.known(m, name) })
		if !known && !k.isOut(state, name) && !c.Bool(forceFlag) {
			return r, nil, usageErrorf("no node knows %s %q; see \"flamingotack status\", or use --%s", k.what, name, forceFlag)
		}
		r = folder.NewRecord(k.record)
		r.OutOfServiceChange = &folder.OutOfServiceChange{Name: name, OutOfService: out}
		if k.isOut(state, name) == out {
			return r, nil, nil
		}
		k.warn(c, state, r)
		return r, []differ.Change{{
			Kind:  differ.Changed,
			Field: k.what + " " + name,
			Old:   inOrOut(!out),
			New:   inOrOut(out),
		}}, nil
	}, nil)
}

func (k outageKind) isOut(state *folder.State, name string) bool {
	if k.record == folder.KindDomain {
		return slices.Contains(state.DomainsOutOfService, name)
	}
	return slices.Contains(state.ServersOutOfService, name)
}

// warn names the services that the change leaves without any backend server.
func (k outageKind) warn(c *cli.Command, state *folder.State, r folder.Record) {
	r.BaseVersion = state.ConfigVersion
	next, _ := state.Fold(state.Offset+1, r)
	before, after := servicesInService(state), servicesInService(next)
	for _, service := range before {
		if !slices.Contains(after, service) {
			_, _ = fmt.Fprintf(c.Root().ErrWriter, "Warning: no backend server of %s stays in service.\n", service)
		}
	}
}

// servicesInService returns the services with a backend server that may get
// new work, sorted.
func servicesInService(state *folder.State) (services []string) {
	for _, m := range state.Members {
		if !state.IsServerOutOfService(m) {
			services = append(services, m.Service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

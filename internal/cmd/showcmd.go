package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/operator"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/tabulator"
)

const (
	changeFlag   = "change"
	manifestFlag = "manifest"
	versionFlag  = "version"

	showDescription = `Reads the log and shows the configuration that all nodes agree on, an earlier
version of it, or the outcome of one change.

Examples:
  flamingotack show
  flamingotack show --manifest > manifest.jsonc
  flamingotack show --version 41
  flamingotack show --change 6a0c2a52-4c22-4d3b-8f0e-6b1f0d1c2b3a`
)

type (
	// changeOutcome is the JSON output of show --change.
	changeOutcome struct {
		// ID is the change's ID.
		ID string `json:"id"`
		// Known is false when the log keeps no such change.
		Known bool `json:"known"`
		// Offset is the offset of the change in the log.
		Offset uint64 `json:"offset,omitempty"`
		// Outcome says whether the nodes accepted the change.
		Outcome folder.Outcome `json:"outcome,omitempty"`
	}

	// configuration is the JSON output of show.
	configuration struct {
		Version             uint64           `json:"version"`
		Author              string           `json:"author"`
		DomainsOutOfService []string         `json:"domainsout"`
		ServersOutOfService []string         `json:"serversout"`
		Members             []folder.Member  `json:"members"`
		Manifest            *parser.Manifest `json:"manifest"`
	}
)

func newShowCmd() *cli.Command {
	return &cli.Command{
		Name:        "show",
		Usage:       "show the configuration",
		Description: showDescription,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: changeFlag, Usage: "show the outcome of the change `ID`"},
			&cli.BoolFlag{Name: manifestFlag, Usage: "print the manifest alone, as publish reads it"},
			&cli.Uint64Flag{Name: versionFlag, Usage: "show the change that made `VERSION`"},
		},
		Action: runShow,
	}
}

func runShow(ctx context.Context, c *cli.Command) (err error) {
	if err := noArguments(c); err != nil {
		return err
	}
	return withView(ctx, c, func(_ context.Context, s *session, v *operator.ConfigView) error {
		switch {
		case c.IsSet(changeFlag):
			return s.showChange(v, c.String(changeFlag))
		case c.IsSet(versionFlag):
			return s.showVersion(v, c.Uint64(versionFlag))
		case c.Bool(manifestFlag):
			return s.showManifest(v)
		default:
			return s.showConfiguration(v)
		}
	})
}

func (s *session) showChange(v *operator.ConfigView, id string) error {
	folded, found := v.State.FindRecord(id)
	outcome := changeOutcome{ID: id, Known: found, Offset: folded.Offset, Outcome: folded.Outcome}
	if !found {
		text := fmt.Sprintf("The log has no change %s: it was not made, unless it is older than the last 2048 records.\n", id)
		return s.print(text, outcome)
	}
	return s.print(fmt.Sprintf("Change %s at offset %d: %s.\n", id, folded.Offset, folded.Outcome), outcome)
}

func (s *session) showConfiguration(v *operator.ConfigView) error {
	state := v.State
	shown := configuration{
		Version:             state.ConfigVersion,
		Author:              v.Author(state.ConfigVersion),
		DomainsOutOfService: emptyIfNil(state.DomainsOutOfService),
		ServersOutOfService: emptyIfNil(state.ServersOutOfService),
		Members:             emptyIfNil(state.Members),
		Manifest:            state.Manifest,
	}
	if state.ConfigVersion == 0 {
		return s.print("No manifest has been published.\n", shown)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "Version %d by %s, %d nodes\n", shown.Version, shown.Author, len(state.Members))
	writeNames(&b, "Failure domains out", state.DomainsOutOfService)
	writeNames(&b, "Backend servers out", state.ServersOutOfService)
	if state.Manifest != nil {
		writeManifest(&b, state.Manifest)
	}
	return s.print(b.String(), shown)
}

func (s *session) showManifest(v *operator.ConfigView) error {
	if v.State.Manifest == nil {
		return &operator.NoVersionError{Version: v.State.ConfigVersion}
	}
	s.json = true
	return s.print("", v.State.Manifest)
}

func (s *session) showVersion(v *operator.ConfigView, version uint64) error {
	r, found := v.Change(version)
	if !found {
		return &operator.NoVersionError{Version: version}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "Version %d by %s, made against version %d, change %s\n", version, v.Author(version), r.BaseVersion, r.ID)
	switch {
	case r.Manifest != nil:
		writeManifest(&b, r.Manifest)
	case r.OutOfServiceChange != nil:
		fmt.Fprintf(&b, "%s %s %s\n", r.Kind, r.OutOfServiceChange.Name, inOrOut(r.OutOfServiceChange.OutOfService))
	}
	return s.print(b.String(), r)
}

func inOrOut(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

// emptyIfNil makes a nil list print as [] instead of null in JSON.
func emptyIfNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func writeManifest(b *strings.Builder, m *parser.Manifest) {
	routes := tabulator.New("SERVICE", "ROUTE", "PRIORITY", "DEADLINE", "IDEMPOTENT", "OPEN")
	for _, v := range m.Services {
		for _, r := range v.Routes {
			routes.AddRow(v.Name, routeName(r), r.Priority, r.Timeout, yesNo(r.Idempotent), yesNo(r.AllowAnonymous))
		}
	}
	customers := tabulator.New("CUSTOMER", "RATE (1/s)", "BURST", "CEILING", "KEYS")
	for _, c := range m.Customers {
		customers.AddRow(c.Name, c.RatePerSecond, c.BurstRequests, c.MaxPriority, len(c.KeyDigests))
	}
	fmt.Fprintf(b, "\n%s\n%s", routes, customers)
}

func writeNames(b *strings.Builder, title string, names []string) {
	if len(names) > 0 {
		fmt.Fprintf(b, "%s: %s\n", title, strings.Join(names, ", "))
	}
}

func routeName(r parser.Route) string {
	if len(r.Methods) == 0 {
		return r.Path
	}
	return strings.Join(r.Methods, ",") + " " + r.Path
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

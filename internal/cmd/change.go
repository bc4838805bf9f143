package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/internal/differ"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/operator"
)

const (
	baseFlag   = "base"
	dryRunFlag = "dry-run"
	idFlag     = "id"
	noWaitFlag = "no-wait"

	// maxNamed is how many late nodes a progress line names.
	maxNamed = 5
)

type (
	// changeResult is what a change of the configuration prints for programs.
	changeResult struct {
		// ID is the change's ID; empty when nothing was appended.
		ID string `json:"id,omitempty"`
		// Base is the version that the change was made against.
		Base uint64 `json:"base"`
		// Version is the one that is in force once the change is.
		Version uint64 `json:"version"`
		// Changed is false when the configuration was like that before.
		Changed bool `json:"changed"`
		// DryRun says that nothing was appended.
		DryRun bool `json:"dryrun,omitempty"`
		// Key is the new key of a customer; nil for other changes.
		Key *issuedKey `json:"key,omitempty"`
		// Changes are the fields that differ.
		Changes []differ.Change `json:"changes,omitempty"`
		// Nodes is the number of nodes that shall act on the version.
		Nodes int `json:"nodes"`
		// Late are the nodes that were not seen with the version.
		Late []operator.LaggingNode `json:"late,omitempty"`
	}

	// edit returns the record that changes state, and the fields that it
	// changes. Without any there is nothing to append.
	edit func(state *folder.State) (r folder.Record, changes []differ.Change, err error)
)

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{
			Name:  baseFlag,
			Usage: "make the change against `VERSION` only (default: the present one)",
		},
		&cli.BoolFlag{
			Name:  dryRunFlag,
			Usage: "show what would change, and append nothing",
		},
		&cli.BoolFlag{
			Name:  noWaitFlag,
			Usage: "do not wait until the change is in force on every node",
		},
	}
}

// repeatFlag lets a change be made again whose outcome is unknown.
func repeatFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  idFlag,
		Usage: "repeat the change `ID` whose outcome is unknown; needs --base",
	}
}

// applyEdit runs a command that changes the configuration. key is the new key
// that the change is about; nil for other changes.
func applyEdit(ctx context.Context, c *cli.Command, e edit, key *issuedKey) (err error) {
	if c.String(idFlag) != "" && !c.IsSet(baseFlag) {
		return usageErrorf("--%s needs the --%s of the first try", idFlag, baseFlag)
	}
	s, ctx, cancel, err := connect(ctx, c)
	if err != nil {
		return err
	}
	defer cancel()
	s.key = key
	v, err := s.load(ctx)
	if err != nil {
		return err
	}
	if _, repeated := v.State.Find(c.String(idFlag)); repeated {
		again := folder.Record{ID: c.String(idFlag), Base: c.Uint64(baseFlag)}
		return s.append(ctx, c, again, changeResult{Base: again.Base})
	}
	r, changes, err := e(v.State)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		return s.reportSame(changeResult{Base: v.State.Version, Version: v.State.Version})
	}
	s.stamp(c, &r, v)
	s.showChanges(changes)
	return s.append(ctx, c, r, changeResult{Base: r.Base, Changes: changes})
}

func (s *session) append(ctx context.Context, c *cli.Command, r folder.Record, result changeResult) (err error) {
	if c.Bool(dryRunFlag) {
		s.system = &operator.DryRunSystem{System: s.system}
	}
	appended, err := operator.AppendAndConfirm(ctx, s.system, r)
	if err != nil {
		return s.fail(err, result)
	}
	result.ID, result.Version, result.Changed = appended.ID, appended.Version, appended.Changed
	if c.Bool(dryRunFlag) {
		result.DryRun = true
		return s.report("Nothing was appended (dry run).\n", result)
	}
	if !appended.Changed {
		return s.reportSame(result)
	}
	if err := s.showKey(); err != nil {
		return err
	}
	result.Key = s.key
	accepted := fmt.Sprintf("Version %d is accepted.", result.Version)
	if c.Bool(noWaitFlag) {
		return s.report(accepted+"\n", result)
	}
	s.note(accepted)
	return s.wait(ctx, result)
}

// advise says what an operator can do about an error.
func (s *session) advise(err error) {
	var (
		conflict *operator.ConflictError
		outage   *operator.LogUnreachableError
	)
	switch {
	case errors.As(err, &conflict):
		s.note(fmt.Sprintf("Version %[1]d by %[2]s won. See it with \"flamingotack show --version %[1]d\", then run the command again.",
			conflict.WinnerVersion, conflict.Author))
	case errors.As(err, &outage) && outage.ID == "":
		s.note("The log can't be reached, and nothing was appended. Try again later.")
	case errors.As(err, &outage):
		s.note("The log can't be reached, and nothing is known of the change. Once the log answers, find out with")
		s.note(fmt.Sprintf("  flamingotack show --change %s", outage.ID))
		if s.key == nil {
			s.note(fmt.Sprintf("or run the command again with --id %s --base %d: the change is not made twice.", outage.ID, outage.BaseVersion))
		}
	}
}

// fail says what is known after an error. A new key is shown when it may be
// worth something.
func (s *session) fail(err error, result changeResult) error {
	s.advise(err)
	var outage *operator.LogUnreachableError
	if s.key == nil || !errors.As(err, &outage) || outage.ID == "" {
		return err
	}
	s.note("The new key is worth something only if the change was accepted.")
	if printErr := s.showKey(); printErr != nil {
		return printErr
	}
	result.ID, result.Key = outage.ID, s.key
	if printErr := s.report("", result); printErr != nil {
		return printErr
	}
	return err
}

// report prints what became of the change. Beside a key, standard output holds
// nothing else for people.
func (s *session) report(text string, result changeResult) error {
	if s.key != nil && !s.json {
		if text != "" {
			s.note(strings.TrimSuffix(text, "\n"))
		}
		return nil
	}
	return s.print(text, result)
}

func (s *session) reportSame(result changeResult) error {
	return s.report(fmt.Sprintf("Nothing changes: version %d is like that already.\n", result.Version), result)
}

// showKey prints the new key for people, as soon as it may be worth something.
func (s *session) showKey() (err error) {
	if s.key == nil || s.json {
		return nil
	}
	_, err = fmt.Fprintln(s.out, s.key.Key)
	return err
}

func (s *session) showChanges(changes []differ.Change) {
	if s.json {
		return
	}
	out := s.out
	if s.key != nil {
		out = s.errors
	}
	for _, d := range changes {
		_, _ = fmt.Fprintln(out, d)
	}
}

// stamp puts author, base and ID on r as the flags want them.
func (s *session) stamp(c *cli.Command, r *folder.Record, v *operator.ConfigView) {
	r.Author = s.client.Author
	r.Base = v.State.Version
	if c.IsSet(baseFlag) {
		r.Base = c.Uint64(baseFlag)
	}
	if id := c.String(idFlag); id != "" {
		r.ID = id
	}
}

func (s *session) wait(ctx context.Context, result changeResult) (err error) {
	v, err := s.load(ctx)
	if err != nil {
		return err
	}
	result.Nodes = len(v.State.Members)
	waitErr := operator.WaitUntilInForce(ctx, s.system, v, result.Version, func(p operator.Progress) { s.note(progressLine(p)) })
	var late *operator.LaggingNodesError
	if errors.As(waitErr, &late) {
		result.Late = late.Nodes
		s.note("A node without news of the log refuses keyed requests once its freshness setting has passed.")
	}
	text := ""
	if waitErr == nil {
		text = fmt.Sprintf("Version %d is in force on all %d nodes.\n", result.Version, result.Nodes)
	}
	if err := s.report(text, result); err != nil {
		return err
	}
	return waitErr
}

func progressLine(p operator.Progress) string {
	line := fmt.Sprintf("In force on %d of %d nodes", p.Ready, p.Ready+len(p.Lagging))
	if len(p.Lagging) == 0 {
		return line + "."
	}
	var names []string
	for _, n := range p.Lagging[:min(maxNamed, len(p.Lagging))] {
		names = append(names, n.String())
	}
	if more := len(p.Lagging) - len(names); more > 0 {
		names = append(names, fmt.Sprintf("%d more", more))
	}
	return line + ", waiting for " + strings.Join(names, ", ")
}

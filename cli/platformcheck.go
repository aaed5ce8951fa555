package cli

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"hyssoploom/configcheck"
	"hyssoploom/fleet"
	"hyssoploom/gateway"
	"hyssoploom/platform"
	"hyssoploom/settings"
)

// checkOptions are the flags of platform check.
type checkOptions struct {
	settings, configuration, against string
	exitCode                         bool
	format                           outputFormat
}

// checkReport is what platform check prints with --format json.
type checkReport struct {
	Configuration string                `json:"configuration"`
	Version       int64                 `json:"version"`
	Errors        int                   `json:"errors"`
	Warnings      int                   `json:"warnings"`
	Findings      []configcheck.Finding `json:"findings"`
	// InForce is where the version in force was read, and InForceVersion its version. Both
	// are empty if nothing was compared.
	InForce        string               `json:"in_force,omitempty"`
	InForceVersion int64                `json:"in_force_version,omitempty"`
	Changes        []configcheck.Change `json:"changes"`
	// NotChecked names what was not checked, and why.
	NotChecked []string `json:"not_checked,omitempty"`

	routes, services int
}

// platformCheckCommand returns the command that checks files before they are put in place.
// Without a store it needs no access to anything else.
func (g *globalFlags) platformCheckCommand() *cobra.Command {
	o := checkOptions{format: formatText}
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check a gateway's settings file and an operators' configuration before they are put in place",
		Long: "Reports errors, entries that can never match, limits that contradict each other, and what differs\n" +
			"from the version in force. With --settings, limits are compared with those of the entries; with\n" +
			"--store, services with the backend servers, and the configuration with the one in the store.",
		Example: "  hyssoploom platform check --settings gateway.toml --configuration config.json\n" +
			"  hyssoploom platform check --configuration config.json --store kv://10.200.1.7:8223 --exit-code\n" +
			"  hyssoploom platform check --configuration config.json --against last.json --format json",
		Args: WithUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error { return g.platformCheck(cmd, &o) },
	}
	flags := cmd.Flags()
	flags.StringVar(&o.settings, "settings", "", "path of a gateway's TOML settings file")
	flags.StringVar(&o.configuration, "configuration", "", "path of the operators' configuration, as the store holds it")
	flags.StringVar(&o.against, "against", "", "path of the configuration in force, in place of the one in the store")
	flags.BoolVar(&o.exitCode, "exit-code", false, fmt.Sprintf("exit with %d if the configuration differs from the one in force", CodeDiffers))
	flags.VarP(&o.format, "format", "f", "output format: text or json")
	return cmd
}

func (g *globalFlags) platformCheck(cmd *cobra.Command, o *checkOptions) error {
	if o.settings == "" && o.configuration == "" {
		return ExitErrorf(CodeUsage, "nothing to check: set --settings or --configuration")
	}
	out := cmd.OutOrStdout()
	var s *settings.Gateway
	if o.settings != "" {
		var err error
		if s, err = settings.LoadGateway(o.settings); err != nil {
			return ExitErrorf(CodeInvalid, "%w", err)
		}
		if o.format == formatText {
			fmt.Fprintf(out, "%s: valid settings of %s in %s\n", o.settings, s.Name, s.DataCentre)
		}
	}
	if o.configuration == "" {
		return nil
	}
	report, storeErr, err := g.checkConfiguration(cmd.Context(), o, s)
	if err != nil {
		return err
	}
	if o.format == formatJSON {
		err = printJSON(out, report)
	} else {
		err = report.print(out)
	}
	switch {
	case err != nil:
		return err
	case report.Errors > 0:
		return ExitErrorf(CodeInvalid, "%s: %d errors, %d warnings", o.configuration, report.Errors, report.Warnings)
	case storeErr != nil:
		return storeErr
	case report.Warnings > 0:
		return ExitErrorf(CodeDoubtful, "%s: %d warnings", o.configuration, report.Warnings)
	case o.exitCode && len(report.Changes) > 0:
		return ExitErrorf(CodeDiffers, "%s: %d changes", o.configuration, len(report.Changes))
	}
	return nil
}

// checkConfiguration runs all checks. storeErr says that the store could not be read; what
// needs it is then not checked.
func (g *globalFlags) checkConfiguration(ctx context.Context, o *checkOptions, s *settings.Gateway) (r *checkReport, storeErr, err error) {
	value, err := os.ReadFile(o.configuration)
	if err != nil {
		return nil, nil, ExitErrorf(CodeUsage, "%w", err)
	}
	r = &checkReport{Configuration: o.configuration, Findings: []configcheck.Finding{}, Changes: []configcheck.Change{}}
	document, findings := platform.DecodeDocument(value)
	r.Findings = append(r.Findings, findings...)
	if document != nil {
		r.Version, r.routes, r.services = document.Version, len(document.Routes), len(document.Services)
		in := &configcheck.Input{Document: document}
		if s != nil {
			in.Process = processOf(s)
		} else {
			r.NotChecked = append(r.NotChecked, "limits of the entries: no --settings")
		}
		var inForce []byte
		if inForce, storeErr, err = g.readDeployment(ctx, o, s, in, r); err != nil {
			return nil, nil, err
		}
		if inForce != nil {
			if in.InForce, _ = platform.DecodeDocument(inForce); in.InForce == nil {
				return nil, nil, ExitErrorf(CodeInvalid, "%s: the configuration in force cannot be decoded", r.InForce)
			}
			r.InForceVersion = in.InForce.Version
			r.Changes = append(r.Changes, configcheck.Diff(in.InForce, document)...)
		}
		r.Findings = append(r.Findings, configcheck.Run(in)...)
	}
	slices.SortStableFunc(r.Findings, func(a, b configcheck.Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	for _, f := range r.Findings {
		if f.Severity == configcheck.Error {
			r.Errors++
		} else {
			r.Warnings++
		}
	}
	return r, storeErr, nil
}

// readDeployment reads the backend servers into in, and returns the configuration in force,
// or nil if there is none to compare with.
func (g *globalFlags) readDeployment(ctx context.Context, o *checkOptions, s *settings.Gateway, in *configcheck.Input, r *checkReport) (inForce []byte, storeErr, err error) {
	if o.against != "" {
		if inForce, err = os.ReadFile(o.against); err != nil {
			return nil, nil, ExitErrorf(CodeUsage, "%w", err)
		}
		r.InForce = o.against
	}
	address, ok := strings.CutPrefix(g.storeURL, platformScheme)
	if !ok {
		r.NotChecked = append(r.NotChecked, "backend servers of services: no --store "+platformScheme+"HOST:PORT")
		return inForce, nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, platformStatusTimeout)
	defer cancel()
	store := platform.NewStore(address)
	unavailable := func(err error) error {
		r.NotChecked = append(r.NotChecked, "backend servers and version in force: the store cannot be read")
		return ExitErrorf(CodeUnavailable, "cannot read the store at %s: %w", address, err)
	}
	view, _, err := platform.ReadView(ctx, store)
	if err != nil {
		return inForce, unavailable(err), nil
	}
	in.Servers, in.OutOfService = make(map[string][]*fleet.BackendServer), view.OutOfService
	for service, servers := range view.ByService {
		for _, server := range servers {
			located := *server
			if s != nil {
				located.Region = s.DataCentres[server.DataCentre]
			}
			in.Servers[service] = append(in.Servers[service], &located)
		}
	}
	if inForce == nil {
		if inForce, err = platform.ReadConfiguration(ctx, store); err != nil {
			return nil, unavailable(err), nil
		}
		r.InForce = platformScheme + address
	}
	return inForce, nil, nil
}

// processOf returns what the settings of an entry say about limits.
func processOf(s *settings.Gateway) *configcheck.Process {
	return &configcheck.Process{
		RetryRatio: s.Bounds.RetryRatio, RetrySlack: s.Bounds.RetrySlack,
		ExtraShare: s.SecondAttempts.Share, ExtraServices: slices.Sorted(maps.Keys(s.SecondAttempts.Services)),
		Grace: s.Bounds.ShutdownGrace(), LargestBody: gateway.LargestBody(s.MemoryMB), HeadMemory: gateway.ClientMemory(s),
		LargestHead: gateway.LargestHead, Regions: slices.Sorted(maps.Values(s.DataCentres)),
	}
}

// print writes one line for each finding and each change.
func (r *checkReport) print(out io.Writer) error {
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%s: %s: ", position(r.Configuration, f.Line, f.Field, f.Entry), f.Severity)
		fmt.Fprintf(&b, "%s; callers: %s [%s]\n", f.Problem, f.Loss, f.Check)
	}
	if r.InForceVersion != 0 {
		fmt.Fprintf(&b, "%s: %d changes from version %d in force (%s)\n", r.Configuration, len(r.Changes), r.InForceVersion, r.InForce)
	} else if r.InForce != "" {
		fmt.Fprintf(&b, "%s: no version in force (%s)\n", r.Configuration, r.InForce)
	}
	for _, c := range r.Changes {
		file := r.Configuration
		if c.Op == configcheck.Removed {
			file = r.InForce
		}
		fmt.Fprintf(&b, "%s: %s", position(file, c.Line, c.Field, c.Entry), c.Op)
		if c.Op == configcheck.Changed {
			fmt.Fprintf(&b, ": %s -> %s", c.Old, c.New)
		}
		if c.Loss != "" {
			fmt.Fprintf(&b, "; callers: %s", c.Loss)
		}
		b.WriteByte('\n')
	}
	for _, n := range r.NotChecked {
		fmt.Fprintf(&b, "%s: not checked: %s\n", r.Configuration, n)
	}
	if r.Errors == 0 {
		fmt.Fprintf(&b, "%s: valid configuration, version %d, %d routes, %d services\n", r.Configuration, r.Version, r.routes, r.services)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// position returns where a field is written, as file:line: field: entry, as far as it is
// known.
func position(file string, line int, field, entry string) string {
	if line > 0 {
		file = fmt.Sprintf("%s:%d", file, line)
	}
	for _, part := range []string{field, entry} {
		if part != "" {
			file += ": " + part
		}
	}
	return file
}

// Package demo runs a scenario with the main functions of hyssoploom on a fleet in one
// process, with embedded stand-ins for the platform and the backend servers.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/embedded"
	"hyssoploom/ledger"
)

const (
	startTimeout = 20 * time.Second
	apiKey       = "key-brydemaatte"
)

// Run starts the fleet, runs the scenario while printing each step to out, and stops
// the fleet.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	spec := embedded.DefaultSpec()
	spec.Judge = failSmallOnInspections
	spec.Seed = 1
	fleet, err := embedded.Start(ctx, spec)
	if err != nil {
		return err
	}
	defer func() { _ = fleet.Close() }()
	s := &scenario{ctx: ctx, out: out, fleet: fleet}
	return s.run()
}

// failSmallOnInspections makes the rater fail the answers of the cheapest model to
// inspection summaries, so that the cascade escalates.
func failSmallOnInspections(r dialect.RateRequest, _ float64) bool {
	return r.TaskClass != "inspection-summary" || r.Model != "small"
}

// scenario is one run of the demo. sessionToken is the token of the current chat
// session; it is empty before a new session.
type scenario struct {
	ctx          context.Context
	out          io.Writer
	fleet        *embedded.Fleet
	sessionToken string
}

func (s *scenario) run() error {
	readyCtx, cancel := context.WithTimeout(s.ctx, startTimeout)
	defer cancel()
	if err := s.fleet.WaitReady(readyCtx); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "Fleet: %d entries, %d agents with their backend servers, store, VM list and rater.\n",
		len(s.fleet.Entries), len(s.fleet.Backends))
	for _, step := range []func() error{s.chat, s.cascade, s.rollOut, s.booking, s.dataCentreOut, s.bill} {
		if err := step(); err != nil {
			return err
		}
	}
	return s.stopFleet()
}

func (s *scenario) printHeading(text string) { fmt.Fprintf(s.out, "\n== %s\n", text) }

func (s *scenario) chat() error {
	s.printHeading("A member asks model small")
	_, err := s.chatAndPrint("entry-jylland", "small", "member-answer", "When is the hall open?")
	return err
}

func (s *scenario) cascade() error {
	s.printHeading("Cascade auto: an inspection summary that the cheapest model cannot do")
	// The cascade needs several ratings before it selects the stage to start with.
	for i := range 4 {
		if _, err := s.chatAndPrint("entry-sjaelland", "auto", "inspection-summary", fmt.Sprintf("Summarise report %d.", i)); err != nil {
			return err
		}
	}
	return nil
}

// rollOut adds version 2 of model small while a session with version 1 is open.
func (s *scenario) rollOut() error {
	s.printHeading("Version 2 of model small is rolled out; the member's session keeps version 1")
	spec := embedded.EngineSpec("small-2-jylland", "jylland", "small", "2")
	if err := s.fleet.AddBackend(s.ctx, spec); err != nil {
		return err
	}
	err := s.fleet.Put(s.ctx, config.KindModel, "small", &config.Model{Versions: []config.ModelVersion{
		{Version: "1", State: config.VersionDraining, PriceIn: 1, PriceOut: 1},
		{Version: "2", State: config.VersionActive, Weight: 1, PriceIn: 1, PriceOut: 1},
	}})
	if err != nil {
		return err
	}
	if err := s.fleet.WaitReady(s.ctx); err != nil {
		return err
	}
	if _, err := s.chatAndPrint("entry-sjaelland", "small", "member-answer", "And on Sunday?"); err != nil {
		return err
	}
	fmt.Fprintln(s.out, "A new session:")
	s.sessionToken = ""
	_, err = s.chatAndPrint("entry-sjaelland", "small", "member-answer", "When is the hall open?")
	return err
}

func (s *scenario) booking() error {
	s.printHeading("A booking and its duplicate through another entry")
	for _, name := range []string{"entry-jylland", "entry-sjaelland"} {
		body := `{"mats":12,"day":"2027-03-06"}`
		resp, answer, err := s.post(name, "/services/booking/bookings", body, "Idempotency-Key", "spring-cup")
		if err != nil {
			return err
		}
		fmt.Fprintf(s.out, "%s -> %d %s replayed=%t\n", name, resp.StatusCode, answer, resp.Header.Get("Idempotent-Replayed") != "")
	}
	total := 0
	for _, b := range s.fleet.Backends {
		if b.Booking != nil {
			total += len(b.Booking.Bookings())
		}
	}
	fmt.Fprintf(s.out, "The booking runners made %d booking.\n", total)
	return nil
}

func (s *scenario) dataCentreOut() error {
	s.printHeading("The landlord closes Jylland; members are served from Sjælland")
	out := &config.DataCentre{Region: "west", State: config.DataCentreOut, Grace: config.Duration(5 * time.Second)}
	if err := s.fleet.Put(s.ctx, config.KindDataCentre, "jylland", out); err != nil {
		return err
	}
	for s.fleet.Entries["entry-jylland"].Entry.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	fmt.Fprintln(s.out, "entry-jylland is no longer ready.")
	s.sessionToken = ""
	_, err := s.chatAndPrint("entry-sjaelland", "medium", "member-answer", "Is my contract signed?")
	return err
}

func (s *scenario) bill() error {
	s.printHeading("The bill")
	charges, err := ledger.Read(s.ctx, s.fleet.Store)
	if err != nil {
		return err
	}
	bill := charges.Bill(ledger.Filter{Workspace: "brydemaatte"})
	for _, line := range bill.Lines {
		fmt.Fprintf(s.out, "%-8s %-3s %-8s rows %2d  tokens in %3d  out %3d  amount %5d\n",
			line.Model, line.Version, line.Service, line.Rows, line.TokensIn, line.TokensOut, line.Amount)
	}
	fmt.Fprintf(s.out, "requests %d, amount %d micro-units\n", bill.Requests, bill.Amount)
	return nil
}

func (s *scenario) stopFleet() error {
	for name := range s.fleet.Entries {
		if err := s.fleet.StopEntry(s.ctx, name); err != nil {
			return eris.Wrapf(err, "stop %s", name)
		}
	}
	for name := range s.fleet.Backends {
		if err := s.fleet.StopAgent(s.ctx, name); err != nil {
			return eris.Wrapf(err, "stop %s", name)
		}
	}
	fmt.Fprintln(s.out, "\nAll processes have drained and stopped.")
	return nil
}

type chatRequest struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatAndPrint sends one chat message in the current session, prints the result, and
// returns the model version that answered.
func (s *scenario) chatAndPrint(entry, model, taskClass, question string) (string, error) {
	body, err := json.Marshal(chatRequest{Model: model, Messages: []chatMessage{{Role: "user", Content: question}}})
	if err != nil {
		return "", err
	}
	resp, answer, err := s.post(entry, "/v1/chat/completions", string(body), "X-Task-Class", taskClass, "X-Session-Token", s.sessionToken)
	if err != nil {
		return "", err
	}
	if token := resp.Header.Get("X-Session-Token"); token != "" {
		s.sessionToken = token
	}
	version := resp.Header.Get("X-Model-Version")
	fmt.Fprintf(s.out, "%s: %s asks %q -> %d %s, %d bytes\n", entry, model, question, resp.StatusCode, version, len(answer))
	return version, nil
}

// post sends a request to an entry and returns the response and its body. header
// alternates names and values; empty values are omitted.
func (s *scenario) post(entry, path, body string, header ...string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, s.fleet.Entries[entry].URL+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		if header[i+1] != "" {
			req.Header.Set(header[i], header[i+1])
		}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp, strings.TrimSpace(string(answer)), err
}

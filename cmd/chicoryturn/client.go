package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"chicoryturn/core"
	"chicoryturn/io/httpx"
)

const clientTimeout = 20 * time.Second

// client calls the HTTP interfaces of gates and scheds.
type client struct {
	opsAddr   string
	gateAddr  string
	key       string
	operator  string
	printJSON bool
}

func (c *client) opsFlags(s *flaggy.Subcommand) {
	s.String(&c.opsAddr, "o", "ops", "operators' address of any process (IP:port)")
	s.Bool(&c.printJSON, "json", "json", "print JSON for scripts")
}

func (c *client) operatorFlag(s *flaggy.Subcommand) {
	s.String(&c.operator, "b", "by", "your name, for the change history")
}

func (c *client) callerFlags(s *flaggy.Subcommand) {
	s.String(&c.gateAddr, "a", "addr", "callers' address of any gate (IP:port)")
	s.String(&c.key, "k", "key", "API key of your team")
	s.Bool(&c.printJSON, "json", "json", "print JSON for scripts")
}

// call sends a request, decodes the JSON body of the response into out unless out
// is nil, and returns the body.
func (c *client) call(ctx context.Context, method, addr, path string, body []byte, out any) ([]byte, error) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return nil, &InputError{fmt.Sprintf("address %q is not IP:port; give one with -o (operators) or -a (callers)", addr)}
	}
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, &InputError{err.Error()}
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	req.Header.Set("Operator", c.operator)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", addr, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("reading the response of %s: %w", addr, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, parseRefusal(resp.StatusCode, text)
	}
	if out != nil {
		if err := json.Unmarshal(text, out); err != nil {
			return nil, fmt.Errorf("decoding the response of %s: %w", addr, err)
		}
	}
	return text, nil
}

// parseRefusal turns a response with an error status into a RefusalError. A response
// without a refusal code gets CodeNoOwner and reports the execution as unknown.
func parseRefusal(status int, text []byte) error {
	var r httpx.Refusal
	if json.Unmarshal(text, &r) != nil || r.Code == "" {
		return core.RefuseUnknown(core.CodeNoOwner, nil, "status %d: %s", status, strings.TrimSpace(string(text)))
	}
	reason := r.Reason
	if len(r.Lines) > 0 {
		reason += "\n" + strings.Join(r.Lines, "\n")
	}
	return &core.RefusalError{Code: core.Code(r.Code), Execution: core.Execution(r.Execution), Reason: reason}
}

// print writes a response to standard output: unchanged if the user asked for
// JSON, and otherwise as formatted by printText.
func (c *client) print(text []byte, printText func()) {
	if c.printJSON {
		fmt.Print(string(text))
		return
	}
	printText()
}

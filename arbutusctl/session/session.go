// Package session contains what arbutusctl's commands share: the streams, the operator's
// settings, and clients of the store and of the deployment's processes. Settings are loaded
// and clients created when they are first needed, so commands that need none work without a
// settings file.
//
// # Usage
//
//	s := session.New(streams)
//	s.SetFlags(f)
//	applier, err := s.Applier()
//
// Tests replace the function fields of Session.
package session

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/google/uuid"

	"arbutusfront.dev/common/command"
	"arbutusfront.dev/common/coordination/config"
	"arbutusfront.dev/common/coordination/learned"
	"arbutusfront.dev/common/coordination/peer"
	"arbutusfront.dev/common/coordination/store"
	"arbutusfront.dev/common/protocol/control"
	controlv1 "arbutusfront.dev/common/protocol/gen/arbutus/control/v1"
	"arbutusfront.dev/common/protocol/settings"
	"arbutusfront.dev/common/transport/network"
)

// EnvSettings is the environment variable with the path of the settings file. The -settings
// flag overrides it.
const EnvSettings = "ARBUTUSCTL_SETTINGS"

type (
	// Session is the state of one command invocation.
	Session struct {
		Streams command.Streams
		// JSON is set if output is printed as JSON.
		JSON bool

		// Now returns the current time.
		Now func() time.Time
		// Author returns the name of the operator, which is recorded with each apply.
		Author func() string
		// ApplyID returns a new unique identifier for an apply.
		ApplyID func() string
		// Network returns the network over which the clients connect.
		Network func() network.Network
		// Store and Peers return clients that are configured by the settings file.
		Store func() (*store.Client, error)
		Peers func() (Peers, error)

		// settingsFile is the path given by -settings or EnvSettings; it may be empty.
		settingsFile string
		// client is shared by all calls; nil until it is first needed.
		client *http.Client
	}

	// Peers are the calls to the deployment's processes.
	Peers struct {
		// Status returns the state of all members, as the first reachable balancer
		// reports it.
		Status func(ctx context.Context) (*controlv1.StatusResponse, error)
		// InForce returns the latest revision that a balancer of the settings has in
		// force. It fails if none responds with a revision. What the revision shares
		// with known, which may be nil, is not transferred.
		InForce func(ctx context.Context, known *config.Revision) (*config.Revision, error)
		// Push sends a revision to all balancers of the settings and returns how many
		// accepted it. It fails if none did.
		Push func(ctx context.Context, r *config.Revision) (int, error)
		// Costs returns the learned costs of the services' requests, by service. It fails if the
		// balancers of the settings don't respond for each of them within costsTimeout.
		Costs func(ctx context.Context, services []string) (map[string][]learned.Cost, error)
		// Dump returns the state, as JSON, of the process at the control address.
		Dump func(ctx context.Context, address netip.AddrPort) ([]byte, error)
	}
)

// New returns a session with the given streams and the system's clock, user and network.
func New(s command.Streams) *Session {
	session := &Session{
		Streams: s,
		Now:     time.Now,
		Author:  currentUser,
		ApplyID: uuid.NewString,
		Network: network.System,
	}
	session.Store = session.connectStore
	session.Peers = session.connectPeers
	return session
}

// SetFlags adds the flags that all commands share.
func (s *Session) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.settingsFile, "settings", os.Getenv(EnvSettings),
		"`file` with the operator's settings; default: $"+EnvSettings)
	f.BoolVar(&s.JSON, "json", false, "print the output as JSON")
}

// VerbAndName parses the arguments of a command such as "domain out NAME": verb or opposite,
// and then a name. The noun is the command's name, for the error message. Flags are allowed
// between and after the arguments. Other arguments result in a UsageError.
func VerbAndName(f *flag.FlagSet, noun, verb, opposite string) (chosen, name string, err error) {
	args, err := command.Positionals(f)
	if err != nil {
		return "", "", err
	}
	const argumentCount = 2
	if len(args) != argumentCount || args[0] != verb && args[0] != opposite {
		return "", "", command.Usagef(
			"%[1]s needs %[2]s or %[3]s, and a name; see arbutusctl help %[1]s", noun, verb, opposite)
	}
	return args[0], args[1], nil
}

// Applier returns a config.Applier that writes to the deployment's store. It fails if the
// settings can't be loaded.
func (s *Session) Applier() (*config.Applier, error) {
	client, err := s.Store()
	if err != nil {
		return nil, err
	}
	peers, err := s.Peers()
	if err != nil {
		return nil, err
	}
	return config.NewApplier(client, config.WithInForce(peers.InForce)), nil
}

// Confirm prompts the user with the question and returns a CanceledError unless the answer
// is y or yes, in upper or lower case. If the input is not a terminal, it returns a UsageError.
func (s *Session) Confirm(question string) error {
	if !s.Streams.InIsTerminal {
		return command.Usagef("can't ask for confirmation without a terminal; repeat with --yes")
	}
	fmt.Fprintf(s.Streams.Err, "%s [y/N] ", question)
	var answer string
	if _, err := fmt.Fscanln(s.Streams.In, &answer); err != nil && !errors.Is(err, io.EOF) {
		answer = ""
	}
	if !strings.EqualFold(answer, "y") && !strings.EqualFold(answer, "yes") {
		return command.CanceledError{Reason: "cancelled; nothing has changed"}
	}
	return nil
}

// Close closes the session's idle connections.
func (s *Session) Close() { s.http().CloseIdleConnections() }

// http returns the HTTP client that all calls share, and creates it at the first call.
func (s *Session) http() *http.Client {
	if s.client == nil {
		s.client = s.Network().HTTP2Client()
	}
	return s.client
}

// settings loads the operator's settings. If no file is given, or it is missing or invalid, that
// results in a UsageError.
func (s *Session) settings() (settings.Operator, error) {
	var o settings.Operator
	if s.settingsFile == "" {
		return o, command.Usagef("no settings file; give one with -settings or $%s", EnvSettings)
	}
	if err := settings.Load(s.settingsFile, &o); err != nil {
		return o, command.UsageError{Err: err}
	}
	return o, nil
}

func (s *Session) connectStore() (*store.Client, error) {
	o, err := s.settings()
	if err != nil {
		return nil, err
	}
	return store.Connect(s.http(), o.StoreURL), nil
}

func (s *Session) connectPeers() (Peers, error) {
	o, err := s.settings()
	if err != nil {
		return Peers{}, err
	}
	key, err := control.NewKey(o.Secret)
	if err != nil {
		return Peers{}, err
	}
	client := peer.NewClient(s.http())
	return Peers{
		Status: func(ctx context.Context) (*controlv1.StatusResponse, error) {
			return firstResponse(ctx, o.Balancers, client.Status)
		},
		InForce: func(ctx context.Context, known *config.Revision) (*config.Revision, error) {
			return latestRevision(ctx, o.Balancers, func(
				ctx context.Context, address netip.AddrPort,
			) (*config.Revision, error) {
				return client.Revision(ctx, address, known)
			})
		},
		Push: func(ctx context.Context, r *config.Revision) (int, error) {
			return pushAll(ctx, o.Balancers, func(ctx context.Context, address netip.AddrPort) error {
				_, err := client.Push(ctx, address, key, r)
				return err
			})
		},
		Costs: func(ctx context.Context, services []string) (map[string][]learned.Cost, error) {
			return costsOf(ctx, o.Balancers, services, client.View)
		},
		Dump: client.Dump,
	}, nil
}

// firstResponse queries the balancers in order until one responds, and returns its response.
// If none does, it returns an error with command.ExitUnreachable.
func firstResponse[T any](
	ctx context.Context, balancers []netip.AddrPort, query func(context.Context, netip.AddrPort) (T, error),
) (T, error) {
	var lastErr error
	for _, address := range balancers {
		response, err := query(ctx, address)
		if err == nil {
			return response, nil
		}
		lastErr = err
	}
	var zero T
	return zero, command.ExitError{
		Code: command.ExitUnreachable,
		Err:  fmt.Errorf("no balancer responds; check the balancers in the settings: %w", lastErr),
	}
}

// currentUser returns the name of the user who runs the program, or "unknown".
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return cmp.Or(u.Username, "unknown")
}

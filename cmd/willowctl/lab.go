package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/standin"
)

const (
	labHeaderTimeout = 5 * time.Second
	boxFieldCount    = 4
	defaultSlots     = 8
	defaultQuality   = 0.8
)

// labCommand runs a stand-in of one part of the platform in this process.
func (t *tool) labCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "lab", ShortUsage: "willowctl lab platform|engine|service|slopes [flags]",
		ShortHelp:   "run a stand-in of the platform, a runner or a plain service",
		FlagSet:     flag.NewFlagSet("willowctl lab", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{t.labPlatformCommand(), t.labEngineCommand(), t.labServiceCommand(), t.labSlopesCommand()},
		Exec: func(context.Context, []string) error {
			return flag.ErrHelp
		},
	}
}

func (t *tool) labPlatformCommand() *ffcli.Command {
	var listen, boxes string
	flags := func(set *flag.FlagSet) {
		set.StringVar(&listen, "listen", "127.0.0.1:9000", "address to listen on")
		set.StringVar(&boxes, "boxes", "", "boxes to list, as NAME,HALL,PEER-ADDRESS,ADMIN-ADDRESS;...")
	}
	return t.command("platform", "", "run a stand-in of the platform's log, list and rater", flags, func(ctx context.Context, _ []string) error {
		platform := standin.NewPlatform()
		for _, text := range strings.FieldsFunc(boxes, func(r rune) bool { return r == ';' }) {
			fields := strings.Split(text, ",")
			if len(fields) != boxFieldCount {
				return exitErrorf(exitInvalid, "-boxes: %q is not of the form NAME,HALL,PEER-ADDRESS,ADMIN-ADDRESS", text)
			}
			platform.SetBox(willowwick.Box{
				ID: willowwick.BoxID(fields[0]), Hall: willowwick.HallID(fields[1]), Peer: fields[2], Admin: fields[3],
			})
		}
		return t.serveLab(ctx, listen, platform)
	})
}

func (t *tool) labEngineCommand() *ffcli.Command {
	var id, hall, listen, platformURL, versions string
	var slots int
	var quality float64
	flags := func(set *flag.FlagSet) {
		registerLabFlags(set, &id, &hall, &listen, &platformURL)
		set.StringVar(&versions, "versions", "", "versions that the runner serves, separated by commas")
		set.IntVar(&slots, "slots", defaultSlots, "largest number of concurrent answers")
		set.Float64Var(&quality, "quality", defaultQuality, "share of good answers")
	}
	return t.command("engine", "", "run a stand-in of a runner", flags, func(ctx context.Context, _ []string) error {
		behaviour := map[willowwick.VersionID]standin.VersionBehaviour{}
		endpoint := willowwick.Endpoint{ID: willowwick.EndpointID(id), Kind: willowwick.KindRunner, Hall: willowwick.HallID(hall), Address: listen}
		for _, name := range strings.Split(versions, ",") {
			version := willowwick.VersionID(name)
			behaviour[version] = standin.VersionBehaviour{Quality: quality}
			endpoint.Versions = append(endpoint.Versions, version)
		}
		if err := registerEndpoint(ctx, platformURL, endpoint); err != nil {
			return err
		}
		return t.serveLab(ctx, listen, standin.NewEngine(endpoint.ID, slots, behaviour))
	})
}

func (t *tool) labServiceCommand() *ffcli.Command {
	var id, hall, listen, platformURL, name string
	flags := func(set *flag.FlagSet) {
		registerLabFlags(set, &id, &hall, &listen, &platformURL)
		set.StringVar(&name, "service", "", "name of the service")
	}
	return t.command("service", "", "run a stand-in of an instance of a plain service", flags, func(ctx context.Context, _ []string) error {
		endpoint := willowwick.Endpoint{
			ID: willowwick.EndpointID(id), Kind: willowwick.KindService, Hall: willowwick.HallID(hall),
			Address: listen, Service: willowwick.ServiceID(name),
		}
		if err := registerEndpoint(ctx, platformURL, endpoint); err != nil {
			return err
		}
		return t.serveLab(ctx, listen, standin.NewService(endpoint.ID))
	})
}

func registerLabFlags(set *flag.FlagSet, id, hall, listen, platformURL *string) {
	set.StringVar(id, "id", "endpoint-1", "name of the endpoint")
	set.StringVar(hall, "hall", "hall-a", "hall of the endpoint")
	set.StringVar(listen, "listen", "127.0.0.1:9100", "address to listen on")
	registerPlatformFlag(set, platformURL)
}

// registerEndpoint adds an endpoint to the stand-in platform's list.
func registerEndpoint(ctx context.Context, platformURL string, endpoint willowwick.Endpoint) error {
	data, err := json.Marshal(endpoint)
	if err != nil {
		return errors.Wrap(err, "register")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, platformURL+"/live/endpoints", bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "register")
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "register")
	}
	return errors.Wrap(response.Body.Close(), "register")
}

// serveLab serves handler on address until ctx ends.
func (t *tool) serveLab(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	fmt.Fprintf(t.out, "listening on %s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: labHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

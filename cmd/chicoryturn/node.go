package main

import (
	"context"
	"net/http"

	"chicoryturn/io/entry"
	"chicoryturn/io/node"
	"chicoryturn/io/table"
	"chicoryturn/platform"
)

// nodeCommand runs the process of a VM on the users' platform.
func nodeCommand() *command {
	return &command{
		name:  "node",
		about: "Runs on every VM of the platform: takes jobs and, in turn, owns the fleet.",
		run: func(ctx context.Context) error {
			local, err := platform.Settings()
			if err != nil {
				return &InputError{err.Error()}
			}
			store := platform.NewStore(local.Store)
			// A signal begins a planned stop; the process ends once nothing is
			// left to finish.
			return node.Run(context.WithoutCancel(ctx), local.Node, node.Platform{
				Store:   store,
				Lists:   func(d table.Doer) node.Lists { return platform.NewLists(d, local.Zones) },
				Workers: platform.NewWorkers(),
				Advice:  platform.NewAdvice(local.Advice),
				Callers: func(e *entry.Entry) http.Handler { return platform.Callers(e) },
				Probes:  func(e *entry.Entry) http.Handler { return platform.Readiness(e) },
			}, ctx.Done())
		},
	}
}

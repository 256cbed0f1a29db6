package replay

import (
	"fmt"

	"github.com/willowwick/willowwick"
	"github.com/willowwick/willowwick/config"
	"github.com/willowwick/willowwick/route"
)

// declareObjects creates the configuration revision that route.ChooseVersion reads.
func (s *simulation) declareObjects() error {
	t := s.trace
	change := &config.Change{ID: "replay"}
	for _, object := range []struct {
		kind config.Kind
		name string
		spec any
	}{
		{config.KindModel, string(t.Cheap.Model), &config.Model{Settled: t.Cheap.ID}},
		{config.KindModel, string(t.Strong.Model), &config.Model{Settled: t.Strong.ID}},
		{config.KindVersion, string(t.Cheap.ID), &config.Version{Model: t.Cheap.Model, Price: t.Cheap.Price}},
		{config.KindVersion, string(t.New.ID), &config.Version{Model: t.New.Model, Price: t.New.Price}},
		{config.KindVersion, string(t.Strong.ID), &config.Version{Model: t.Strong.Model, Price: t.Strong.Price}},
		{config.KindRollout, "new", &config.Rollout{Model: t.New.Model, From: t.Cheap.ID, To: t.New.ID, Steps: rolloutSteps, MinRequests: minRequests}},
		{config.KindClientAccount, "all", &config.ClientAccount{
			Keys: []string{config.HashKey("all")}, Allow: []string{string(t.Cheap.Model), string(t.Strong.Model)}, Default: "both",
		}},
		{config.KindCascade, "both", &config.Cascade{Stages: []willowwick.ModelID{t.Cheap.Model, t.Strong.Model}, Judge: config.JudgeRater}},
	} {
		made, err := config.NewObject(object.kind, object.name, object.spec)
		if err != nil {
			return err
		}
		change.Objects = append(change.Objects, made)
	}
	return s.fold(config.Record{Kind: config.RecordChange, Change: change})
}

// fold applies a record to the configuration and puts the new revision in force.
func (s *simulation) fold(record config.Record) error {
	state := config.NewState()
	if s.revision != nil {
		state = s.revision.State
	}
	data, err := record.Encode()
	if err != nil {
		return err
	}
	next, err := config.Fold(state, willowwick.Entry{Offset: state.Offset + 1, Data: data})
	if err != nil {
		return err
	}
	s.revision = config.NewRevision(next)
	return nil
}

// buildFleet creates the runners, and a router for each box.
func (s *simulation) buildFleet(seed uint64) {
	var endpoints []willowwick.Endpoint
	for i := range s.trace.Runners {
		r := &runner{id: willowwick.EndpointID(fmt.Sprintf("runner%02d", i)), hall: s.hallOf(i), slots: s.trace.Slots}
		s.runners[r.id] = r
		s.runnerList = append(s.runnerList, r)
		endpoints = append(endpoints, willowwick.Endpoint{
			ID: r.id, Hall: r.hall, Versions: []willowwick.VersionID{s.trace.Cheap.ID, s.trace.New.ID, s.trace.Strong.ID},
		})
	}
	for i := range s.trace.Boxes {
		r := &router{
			pool:   route.NewPool(s.newPicker(i, seed)),
			queues: map[willowwick.VersionID]*route.Queue{}, fifo: map[willowwick.VersionID][]*task{},
			inFlight: map[willowwick.VersionID]int{},
		}
		r.pool.Update(endpoints)
		s.routers = append(s.routers, r)
	}
	s.reportLoads()
}

func (s *simulation) hallOf(i int) willowwick.HallID {
	return willowwick.HallID(fmt.Sprintf("hall%d", i%s.trace.Halls))
}

func (s *simulation) newPicker(box int, seed uint64) willowwick.Picker {
	switch s.policy.picker {
	case pickRoundRobin:
		return &route.RoundRobin{}
	case pickLeastLoaded, pickPerfectLoad:
		return route.LeastLoaded{}
	case pickNoAffinity:
		return route.NewPowerOfTwo(s.hallOf(box), false, seed+uint64(box))
	default:
		return route.NewPowerOfTwo(s.hallOf(box), true, seed+uint64(box))
	}
}

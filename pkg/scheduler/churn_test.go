package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"golang.org/x/sync/errgroup"

	"github.com/waxwingmount/waxwingmount/pkg/apportioner"
	"github.com/waxwingmount/waxwingmount/pkg/mapper"
	"github.com/waxwingmount/waxwingmount/pkg/provider"
	"github.com/waxwingmount/waxwingmount/pkg/tracker"
)

// churn simulates the instances of a service whose members are lost and replaced
// all the time, in virtual time, and measures the capacity that a scheduler makes
// of them.
type churn struct {
	settings  churnSettings
	random    *rand.Rand
	now       time.Time
	scheduler *Scheduler
	tracker   *tracker.Tracker
	instances []*churnInstance
	nextID    int
	result    churnResult
	// apportioner divides the instances if the settings ask for it.
	apportioner *apportioner.Apportioner
	// missed is the share of each model's requests that was missed in the last step.
	missed map[string]float64
}

type churnSettings struct {
	engine  *mapper.Engine
	domains int
	// domainSize is the number of instances of each domain at the start.
	domainSize int
	demand     map[string]float64
	// offered is the work of each model in instance seconds per second; nil means
	// its share of the instances by demand, divided by churnHeadroom.
	offered map[string]float64
	// lending is set if an apportioner decides on the division.
	lending bool
	// lossInterval is the mean time between two losses; a replacement arrives
	// replacementDelay later.
	lossInterval     time.Duration
	replacementDelay time.Duration
	duration         time.Duration
	// lossesAtOnce is the number of instances that are lost together.
	lossesAtOnce int
	// cutShare is the share of the instances that cannot be reached from
	// churnCutStart on, for churnCutTime.
	cutShare float64
}

// churnResult holds seconds, except for the counts.
type churnResult struct {
	// capacity is the time for which groups were open, by model, in group
	// seconds; a group across domains counts by its speed.
	capacity map[string]float64
	// spread is the time for which groups across domains were open.
	spread float64
	// unused is the time for which instances were in no open group.
	unused float64
	// served is the mean of the demand served, weighted by share.
	served float64
	// servedBy is the time-weighted share of each model's requests that is served.
	servedBy map[string]float64
	loads    int
}

// churnInstance is one simulated instance.
type churnInstance struct {
	provider.Instance
	// orders is the number of orders carried out.
	orders uint64
	lostAt time.Time
	// cutAt and cutUntil are when the instance cannot be reached for a while.
	cutAt, cutUntil time.Time
	// readyAt, stagedAt, openAt and closedAt are when orders in progress end.
	readyAt, openAt, closedAt time.Time
	loadsModel                string
}

const (
	churnStep     = 150 * time.Millisecond
	churnLead     = 10 * time.Second
	churnDetect   = 450 * time.Millisecond
	churnForm     = 300 * time.Millisecond
	churnRejoin   = 200 * time.Millisecond
	churnDrain    = 2 * time.Second
	churnSpread   = 3.0
	churnHeadroom = 2.0
	churnCutStart = 12 * time.Second
	churnCutTime  = 5 * time.Second
	churnParallel = 3
)

func newChurn(settings churnSettings, seed uint64) *churn {
	c := &churn{
		settings: settings, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), scheduler: New(0), tracker: tracker.New(),
		result:      churnResult{capacity: make(map[string]float64), servedBy: make(map[string]float64)},
		apportioner: apportioner.New(), missed: make(map[string]float64),
	}
	sizes := make(map[string]int)
	for _, m := range settings.engine.Models {
		sizes[m.Name] = m.Size
	}
	c.tracker.SetServices(map[string]map[string]int{"": sizes})
	for d := range settings.domains {
		for range settings.domainSize {
			c.add(strconv.Itoa(d))
		}
	}
	return c
}

func (c *churn) add(domain string) {
	c.nextID++
	c.instances = append(c.instances, &churnInstance{Instance: provider.Instance{ID: fmt.Sprintf("i%04d", c.nextID), Incarnation: "1", FabricDomain: domain}})
}

// run simulates the whole time. Losses begin with the first request, after
// churnLead.
func (c *churn) run() churnResult {
	start := c.now
	nextLoss := start.Add(churnLead)
	var replacements []time.Time
	for c.now.Sub(start) < churnLead+c.settings.duration {
		c.now = c.now.Add(churnStep)
		idle := c.now.Sub(start) < churnLead
		for !idle && !c.now.Before(nextLoss) {
			nextLoss = nextLoss.Add(time.Duration(c.random.ExpFloat64() * float64(c.settings.lossInterval)))
			for range c.settings.lossesAtOnce {
				c.lose()
				replacements = append(replacements, c.now.Add(c.settings.replacementDelay))
			}
		}
		for len(replacements) > 0 && !c.now.Before(replacements[0]) {
			replacements = replacements[1:]
			c.add(strconv.Itoa(c.random.IntN(c.settings.domains)))
		}
		if c.now.Sub(start)-churnLead-churnCutStart < churnStep && c.now.Sub(start)-churnLead >= churnCutStart {
			c.cut()
		}
		c.advance()
		c.list()
		view := View{Tracker: c.tracker, Engine: c.settings.engine, Demand: c.settings.demand, Idle: idle}
		if c.settings.lending && !idle {
			c.divide(&view)
		}
		for _, o := range c.scheduler.Step(c.now, view) {
			if o, sendable := prepareWithReport(c.scheduler, c.now, o, c.report); sendable {
				c.scheduler.HandleOutcome(c.now, o, c.apply(o, idle))
			}
		}
		if !idle {
			c.measure()
		}
	}
	c.result.served /= c.settings.duration.Seconds()
	return c.result
}

// divide sets the division of the instances in the view. One request takes half an
// instance second.
func (c *churn) divide(view *View) {
	in := apportioner.Input{Instances: len(c.tracker.Instances()), Reported: true, Models: c.scheduler.Models(*view)}
	for i := range in.Models {
		m := &in.Models[i]
		m.UsableShare, m.Missed = 0.85, c.missed[m.Name]
		m.Offered, m.Arrived = c.settings.offered[m.Name], 2*c.settings.offered[m.Name]
	}
	result := c.apportioner.Divide(c.now, in)
	view.Wanted, view.Moves = result.Wanted, result.Moves
}

// lose loses a random member of a group.
func (c *churn) lose() {
	var members []*churnInstance
	for _, in := range c.instances {
		if in.lostAt.IsZero() && in.Membership.Group != "" {
			members = append(members, in)
		}
	}
	if len(members) > 0 {
		members[c.random.IntN(len(members))].lostAt = c.now
	}
}

// cut makes a random share of the instances unreachable.
func (c *churn) cut() {
	for _, in := range c.instances {
		if c.random.Float64() < c.settings.cutShare {
			in.cutAt, in.cutUntil = c.now, c.now.Add(churnCutTime)
		}
	}
}

// reachable reports whether the instance is neither lost nor cut off.
func (c *churn) reachable(in *churnInstance) bool {
	return in.lostAt.IsZero() && !c.now.Before(in.cutUntil)
}

// advance ends the orders that are due.
func (c *churn) advance() {
	due := func(at *time.Time) bool {
		if at.IsZero() || c.now.Before(*at) {
			return false
		}
		*at = time.Time{}
		return true
	}
	for _, in := range c.instances {
		if due(&in.readyAt) {
			in.Membership.State = provider.MemberReady
			if !slices.Contains(in.Staged, in.loadsModel) {
				in.Staged = []string{in.loadsModel}
			}
			in.Loaded = []string{in.loadsModel}
		}
		if due(&in.openAt) {
			in.Membership.State = provider.Serving
		}
		if due(&in.closedAt) {
			in.Membership.State = provider.MemberReady
		}
	}
}

// list passes the instances to the tracker and marks losses that are detected.
func (c *churn) list() {
	var all []provider.Instance
	c.instances = slices.DeleteFunc(c.instances, func(in *churnInstance) bool {
		return !in.lostAt.IsZero() && c.now.Sub(in.lostAt) > 4*time.Second
	})
	for _, in := range c.instances {
		all = append(all, in.Instance)
	}
	c.tracker.Update(c.now, 0, all)
	for _, in := range c.instances {
		if !in.lostAt.IsZero() && c.now.Sub(in.lostAt) > churnDetect {
			c.tracker.MarkLost(c.now, in.ID, in.Incarnation)
		}
		switch {
		case in.cutUntil.IsZero():
		case c.now.Before(in.cutUntil) && c.now.Sub(in.cutAt) > churnDetect:
			c.tracker.MarkLost(c.now, in.ID, in.Incarnation)
		case c.now.Sub(in.cutUntil) > churnDetect:
			c.tracker.ClearLoss(in.ID)
			in.cutUntil = time.Time{}
		}
	}
}

func (c *churn) instance(id string) *churnInstance {
	for _, in := range c.instances {
		if in.ID == id && c.reachable(in) {
			return in
		}
	}
	return nil
}

// report returns what an instance says of itself.
func (c *churn) report(id string) Report {
	in := c.instance(id)
	if in == nil {
		return Report{}
	}
	return Report{Incarnation: in.Incarnation, Orders: in.orders, Membership: in.Membership}
}

// apply carries out an order.
func (c *churn) apply(o Order, idle bool) Outcome {
	in := c.instance(o.Instance.ID)
	if in == nil {
		return Unknown
	}
	if o.Conditional && o.Orders != in.orders {
		return Conflicting
	}
	model, _ := c.settings.engine.Model(o.Model)
	load := model.Load
	if idle {
		load /= idleLoadSpeedup
	}
	switch o.Kind {
	case Join:
		in.openAt, in.closedAt = time.Time{}, time.Time{}
		in.readyAt = c.now.Add(load)
		if slices.Contains(in.Loaded, o.Model) {
			in.readyAt = c.now.Add(churnRejoin)
		} else if slices.Contains(in.Staged, o.Model) {
			in.readyAt = c.now.Add(model.Warm)
		} else {
			c.result.loads++
		}
		in.loadsModel = o.Model
		if !slices.Contains(in.Loaded, o.Model) {
			in.Loaded = nil
		}
		in.Membership = provider.Membership{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, in.ID), State: provider.Joining}
	case Open:
		if in.Membership.Group != o.Group || in.Membership.State != provider.MemberReady {
			return Conflicting
		}
		if in.openAt.IsZero() {
			in.openAt = c.now.Add(churnForm)
		}
	case Close:
		in.Membership.State = provider.Closing
		in.closedAt = c.now.Add(churnDrain)
	case Leave:
		if in.Membership.Group == o.Group {
			in.Membership = provider.Membership{}
			in.readyAt, in.openAt, in.closedAt = time.Time{}, time.Time{}, time.Time{}
		}
	}
	in.orders++
	return Accepted
}

// measure adds one step to the result.
func (c *churn) measure() {
	seconds := churnStep.Seconds()
	members := make(map[string][]*churnInstance)
	live := 0.0
	for _, in := range c.instances {
		if c.reachable(in) {
			live++
			if g := in.Membership.Group; g != "" {
				members[g] = append(members[g], in)
			}
		}
	}
	open := make(map[string]float64)
	used := 0
	for name, all := range members {
		model, _ := c.settings.engine.Model(tracker.ModelOf(name))
		head := slices.IndexFunc(all, func(in *churnInstance) bool {
			return in.Membership.Rank == 0 && in.Membership.State == provider.Serving
		})
		if len(all) != model.Size || head < 0 {
			continue
		}
		used += len(all)
		if slices.ContainsFunc(all, func(in *churnInstance) bool { return in.FabricDomain != all[0].FabricDomain }) {
			open[model.Name] += 1 / churnSpread
			c.result.spread += seconds
		} else {
			open[model.Name]++
		}
	}
	c.result.unused += (live - float64(used)) * seconds
	for _, m := range c.settings.engine.Models {
		c.result.capacity[m.Name] += open[m.Name] * seconds
		needed := c.settings.demand[m.Name] * float64(c.settings.domains*c.settings.domainSize) / churnHeadroom / float64(m.Size)
		weight := c.settings.demand[m.Name]
		if c.settings.offered != nil {
			needed = c.settings.offered[m.Name] / float64(m.Size)
			weight = c.settings.offered[m.Name] / (c.settings.offered["large"] + c.settings.offered["small"])
		}
		share := servedShare(open[m.Name] / needed)
		c.missed[m.Name] = 1 - share
		c.result.served += weight * share * seconds
		c.result.servedBy[m.Name] += share * seconds
	}
}

// servedShare returns the share of a model's requests that are served in time
// when the capacity is x times the work.
func servedShare(x float64) float64 {
	points := [][2]float64{{0, 0}, {0.9, 0.63}, {1.2, 0.85}, {1.6, 0.955}, {2, 0.98}}
	for i := 1; i < len(points); i++ {
		if a, b := points[i-1], points[i]; x < b[0] {
			return a[1] + (b[1]-a[1])*(x-a[0])/(b[0]-a[0])
		}
	}
	return points[len(points)-1][1]
}

// TestChurn records the capacity that the scheduler makes of installations whose
// instances are lost and replaced, as a mean over many seeds in virtual time.
func TestChurn(t *testing.T) {
	datadriven.RunTest(t, "testdata_churn/installations", func(t *testing.T, d *datadriven.TestData) string {
		settings := scanChurnSettings(t, d)
		var seeds int
		d.ScanArgs(t, "seeds", &seeds)
		var sum churnResult
		var servedLarge, servedSmall float64
		capacity := make(map[string]float64)
		results := make([]churnResult, seeds)
		var runs errgroup.Group
		runs.SetLimit(churnParallel)
		for seed := range seeds {
			runs.Go(func() error {
				results[seed] = newChurn(settings, uint64(seed)).run()
				return nil
			})
		}
		if err := runs.Wait(); err != nil {
			t.Fatal(err)
		}
		for _, r := range results {
			for name, v := range r.capacity {
				capacity[name] += v
			}
			sum.served += r.served
			servedLarge += r.servedBy["large"]
			servedSmall += r.servedBy["small"]
			sum.spread += r.spread
			sum.unused += r.unused
			sum.loads += r.loads
		}
		per := func(v float64) float64 { return v / float64(seeds) / settings.duration.Seconds() }
		if settings.offered != nil {
			return fmt.Sprintf("served %.3f %.3f groups %.2f %.2f spread %.2f unused %.2f loads %d\n", per(servedLarge), per(servedSmall),
				per(capacity["large"]), per(capacity["small"]), per(sum.spread), per(sum.unused), sum.loads/seeds)
		}
		return fmt.Sprintf("served %.3f groups %.2f %.2f spread %.2f unused %.2f loads %d\n", sum.served/float64(seeds),
			per(capacity["large"]), per(capacity["small"]), per(sum.spread), per(sum.unused), sum.loads/seeds)
	})
}

package scheduler

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/waxwingmount/waxwingmount/pkg/mapper"
)

// scanChurnSettings returns the settings that a script states.
func scanChurnSettings(t *testing.T, d *datadriven.TestData) churnSettings {
	engine := *testEngine
	settings := churnSettings{engine: &engine, replacementDelay: 4 * time.Second, duration: 34 * time.Second, demand: make(map[string]float64)}
	settings.lossesAtOnce = 1
	var largeSize, smallSize, interval, large, atOnce, perSecond, cut int
	d.ScanArgs(t, "sizes", &largeSize, &smallSize)
	d.ScanArgs(t, "domains", &settings.domains)
	d.ScanArgs(t, "domain_size", &settings.domainSize)
	d.ScanArgs(t, "loss_interval", &interval)
	d.ScanArgs(t, "large_demand", &large)
	d.ScanArgs(t, "loads_at_once", &atOnce)
	d.ScanArgs(t, "loads_per_second", &perSecond)
	d.MaybeScanArgs(t, "cut_percent", &cut)
	d.MaybeScanArgs(t, "losses_at_once", &settings.lossesAtOnce)
	settings.cutShare = float64(cut) / 100
	settings.lending = d.HasArg("lending")
	if d.HasArg("seconds") {
		var seconds int
		d.ScanArgs(t, "seconds", &seconds)
		settings.duration = time.Duration(seconds) * time.Second
	}
	if d.HasArg("offered") {
		var offeredLarge, offeredSmall int
		d.ScanArgs(t, "offered", &offeredLarge, &offeredSmall)
		settings.offered = map[string]float64{"large": float64(offeredLarge), "small": float64(offeredSmall)}
	}
	engine.SpreadFactor = churnSpread
	engine.LoadsAtOnce, engine.LoadsPerSecond = atOnce, float64(perSecond)
	engine.Models = []mapper.Model{
		{Name: "large", Size: largeSize, Pace: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
		{Name: "small", Size: smallSize, Pace: 0.6, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
	}
	settings.lossInterval = time.Duration(interval) * time.Millisecond
	settings.demand["large"], settings.demand["small"] = float64(large)/100, 1-float64(large)/100
	return settings
}

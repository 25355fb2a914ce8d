package routeconfig

import (
	"strconv"
	"time"

	"tillerusher/internal/pool"
	"tillerusher/internal/sexp"
)

// format writes a pool form.
func (p *Pool) format(out *formatter) {
	defaults := defaultPool()
	out.open("pool", sexp.Quote(p.Name))
	if p.BalancingPolicy != defaults.BalancingPolicy {
		out.line("method", p.BalancingPolicy.String())
	}
	if p.HashKey != "" {
		out.line("key", sexp.Quote(p.HashKey))
	}
	if p.Protocol != defaults.Protocol {
		out.line("protocol", p.Protocol)
	}
	for _, m := range p.Members {
		formatMember(out, m)
	}
	p.formatRetries(out, &defaults)
	if p.MaxIdleConns != 0 {
		out.line("keepalive", strconv.Itoa(p.MaxIdleConns))
	}
	formatTimeout(out, "connect", p.ConnectTimeout, defaults.ConnectTimeout)
	formatTimeout(out, "read", p.ReadTimeout, defaults.ReadTimeout)
	formatTimeout(out, "send", p.SendTimeout, defaults.SendTimeout)
	formatRetryBudget(out, &p.RetryPolicy, &defaults.RetryPolicy)
	formatOutlierDetection(out, &p.OutlierDetection, &defaults.OutlierDetection)
	formatParams(out, p.Params)
	out.close()
}

// formatRetries writes the retry limits and conditions of a pool that differ from the defaults.
func (p *Pool) formatRetries(out *formatter, defaults *Pool) {
	if p.MaxAttempts != 0 {
		out.line("tries", strconv.Itoa(p.MaxAttempts))
	}
	if p.RetryTimeout != 0 {
		out.line("try-for", formatDuration(p.RetryTimeout))
	}
	if p.RetryOn != defaults.RetryOn {
		out.line(append([]string{"next"}, formatRetryConditions(p.RetryOn)...)...)
	}
}

// formatTimeout writes a timeout if it differs from the default.
func formatTimeout(out *formatter, name string, timeout, defaultTimeout time.Duration) {
	if timeout != defaultTimeout {
		out.line(name, formatDuration(timeout))
	}
}

// formatRetryBudget writes a retry budget if it differs from the default.
func formatRetryBudget(out *formatter, r, defaults *pool.RetryPolicy) {
	if r.RetryRatio == defaults.RetryRatio && r.MinRetriesPerSecond == defaults.MinRetriesPerSecond &&
		r.RetryBurst == defaults.RetryBurst {
		return
	}
	out.line("budget",
		inline("share", formatNumber(r.RetryRatio)),
		inline("least", formatNumber(r.MinRetriesPerSecond)),
		inline("burst", formatNumber(r.RetryBurst)))
}

// formatOutlierDetection writes the outlier detection settings if one of them differs from the default.
func formatOutlierDetection(out *formatter, o, defaults *pool.OutlierDetection) {
	if *o == *defaults {
		return
	}
	out.line("eject",
		inline("factor", formatNumber(o.EjectionLatencyFactor)),
		inline("errors", formatNumber(o.EjectionErrorRate)),
		inline("after", strconv.Itoa(o.EjectionMinAttempts)),
		inline("for", formatDuration(o.BaseEjectionTime)),
		inline("most", formatNumber(o.MaxEjectedRatio)),
		inline("panic-under", formatNumber(o.PanicThreshold)))
}

// formatMember writes a member form with the settings that differ from the defaults.
func formatMember(out *formatter, member pool.Member) {
	defaults := pool.DefaultMember(member.Addr)
	items := []string{"member", sexp.Quote(member.Addr)}
	add := func(differs bool, name, value string) {
		if differs {
			items = append(items, inline(name, value))
		}
	}
	add(member.Weight != defaults.Weight, "weight", strconv.Itoa(member.Weight))
	add(member.MaxConns != defaults.MaxConns, "max-conns", strconv.Itoa(member.MaxConns))
	add(member.MaxFails != defaults.MaxFails, "max-fails", strconv.Itoa(member.MaxFails))
	add(member.FailTimeout != defaults.FailTimeout, "fail-timeout", formatDuration(member.FailTimeout))
	add(member.SlowStart != defaults.SlowStart, "slow-start", formatDuration(member.SlowStart))
	if member.Backup {
		items = append(items, inline("backup"))
	}
	if member.Down {
		items = append(items, inline("down"))
	}
	out.line(items...)
}

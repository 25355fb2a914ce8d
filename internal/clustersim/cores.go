package clustersim

import (
	"container/heap"
	"math"
	"time"
)

// job is work on the cores: a run, or the reading of a request.
type job struct {
	of     *visit
	read   bool
	finish float64 // of the service that each job has had, when it is done
	seq    uint64
	pos    int // in the heap; -1 while it is not on the cores
}

// jobs is a heap by the service at which they are done.
type jobs []*job

func (h jobs) Len() int { return len(h) }
func (h jobs) Less(i, j int) bool {
	return h[i].finish < h[j].finish || h[i].finish == h[j].finish && h[i].seq < h[j].seq
}
func (h jobs) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].pos, h[j].pos = i, j }
func (h *jobs) Push(x any)   { j := x.(*job); j.pos = len(*h); *h = append(*h, j) }
func (h *jobs) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.pos = -1
	return j
}

// cores are those of one server, shared evenly by all jobs (egalitarian processor sharing, at most one core a job). Past a
// number of runs a core they get less done in total.
type cores struct {
	n        float64
	thrash   float64 // how much less, for each run a core over thrashAt
	thrashAt float64
	speed    float64 // of each core now; 0 while all stands still

	jobs    jobs
	runs    int     // jobs that are runs
	service float64 // seconds of work that each job on the cores has had since the start
	last    time.Duration
	seq     uint64

	busy   float64 // part of the cores, averaged over half a second
	worked float64 // core seconds at full speed that jobs have had, in all
}

// busyOver is the time over which the gauge of the cores averages.
const busyOver = 500 * time.Millisecond

// rate is the seconds of work that each job gets in a second.
func (c *cores) rate() float64 {
	k := float64(len(c.jobs))
	if k == 0 || c.speed == 0 {
		return 0
	}
	return c.speed * min(1, c.n/k) * c.efficiency()
}

// efficiency is what crowding leaves of the cores.
func (c *cores) efficiency() float64 {
	over := float64(c.runs)/c.n - c.thrashAt
	if over <= 0 || c.thrash == 0 {
		return 1
	}
	return 1 / (1 + c.thrash*over)
}

// advance gives jobs their service up to now.
func (c *cores) advance(now time.Duration) {
	since := (now - c.last).Seconds()
	if since <= 0 {
		return
	}
	r := c.rate()
	c.service += r * since
	c.worked += r * since * float64(len(c.jobs))
	keep := math.Exp(-since / busyOver.Seconds())
	c.busy = c.busy*keep + (1-keep)*min(1, float64(len(c.jobs))/c.n)
	c.last = now
}

// add puts a job on the cores.
func (c *cores) add(j *job, work float64) {
	j.finish = c.service + work
	j.seq = c.seq
	c.seq++
	heap.Push(&c.jobs, j)
	if !j.read {
		c.runs++
	}
}

// take takes a job off the cores and returns the work that it still lacked.
func (c *cores) take(j *job) float64 {
	left := j.finish - c.service
	heap.Remove(&c.jobs, j.pos)
	if !j.read {
		c.runs--
	}
	if len(c.jobs) == 0 {
		c.service = 0 // so that figures stay exact over long runs
	}
	return left
}

// next is when the first job is done, if nothing changes.
func (c *cores) next() (time.Duration, bool) {
	r := c.rate()
	if r == 0 {
		return 0, false
	}
	wait := max(c.jobs[0].finish-c.service, 0) / r
	return c.last + time.Duration(math.Ceil(wait*1e9)), true
}

// done is the first job if it is done by now, or nil.
func (c *cores) done() *job {
	if len(c.jobs) > 0 && c.jobs[0].finish <= c.service+1e-10 {
		return c.jobs[0]
	}
	return nil
}

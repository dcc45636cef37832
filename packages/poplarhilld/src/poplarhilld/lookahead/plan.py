"""Decisions of one round of placement that looks ahead."""

import math
import os
from collections.abc import Iterator, Mapping, Sequence
from typing import TYPE_CHECKING

from poplarhill.types import Resources
from poplarhilld.lookahead.gaps import Gaps
from poplarhilld.lookahead.options import LookaheadOptions
from poplarhilld.lookahead.timeline import FreedCores, Timeline, last_start

if TYPE_CHECKING:
    from poplarhilld.leading.job import LedJob, LedTask
    from poplarhilld.leading.spread import RunTimeSpread
    from poplarhilld.leases import LeasedWorker

V = {k: float(v) for k, v in (x.split("=") for x in os.environ.get("LA", "").split(",") if x)}

_TOLERANCE = 1e-6
_HORIZON_S = 1.5


class Plan:
    def __init__(self, now, options, timeline, waiting, usable, free, short, spread):
        self._now = now
        self._options = options
        self._timeline = timeline
        self._waiting = waiting
        self._usable = usable
        self._free = free
        self._short = short
        self._spread = spread
        self._deferred = []
        self._deferring = True
        self._upcoming = None
        self._gaps = None
        self._held={}
        self._reserved=0

    def value(self, job, start, e):
        sd=max(0.1,self._spread.deviation(job.offer.route))*V.get("sd",1)
        due=min(job.due,job.deadline)
        slack=due-start
        p=0.5*math.erfc(-math.log(slack/e)/sd/1.4142) if slack>0 else 0.0
        lim=min(job.deadline, job.arrived_at+3*(job.due-job.arrived_at))
        slack=lim-start
        q=0.5*math.erfc(-math.log(slack/e)/sd/1.4142) if slack>0 else 0.0
        if V.get("hard",0):
            p=float(p>0.5); q=float(q>0.5)
        return max(0.8*p+0.2*q, V.get("floor",0.01))

    def jobs(self):
        from poplarhilld.leading.order import rank
        mode=int(V.get("ord",1))
        now=self._now
        if mode:
            w=int(V.get("win",64))
            head=self._waiting[:w]
            if len(head)>1:
                keys={}
                for job in head:
                    ready=job.ready_tasks()
                    e=self._median_s(job)
                    n=sum(t.waiting for t in job.tasks)
                    cs=n*job.tasks[0].spec.needs.cores*job.expected_s(job.tasks[0]) if V.get("wcs",1) else job.open_core_seconds
                    v=self.value(job,now,e) if mode==1 else 1.0
                    if mode==2: v=0.2 if now+e>min(job.due,job.deadline) else 1.0
                    if mode==3:
                        v=1.0 if job.run_count or now+e<=min(job.due,job.deadline) else 0.001
                    if mode==4:
                        v=1.0 if now+e<=min(job.due,job.deadline) else 0.001
                    if mode==5:
                        v=self.value(job,now,e)-V.get("mu",0.8)*self.value(job,now+V.get("delta",0.1),e)
                        v=max(v,0.001)
                    keys[job.job_id]=cs*job.core_second_cost/v
                head.sort(key=lambda j: keys[j.job_id])
            yield from head
            yield from self._waiting[w:]
        else:
            yield from self._waiting
        self._deferring = False
        yield from self._deferred

    @property
    def gaps(self):
        if self._gaps is None:
            self._gaps = Gaps((job.least_cores for job in self._waiting), 24)
        return self._gaps

    def _median_s(self, job):
        return job.run_s * self._spread.usual_factor(job.offer.route)

    @property
    def upcoming(self):
        if self._upcoming is None:
            self._upcoming = self._timeline.upcoming(self._now, self._free, self._now + _HORIZON_S)
        return self._upcoming

    def reserve(self, job):
        R=int(V.get("res",0))
        if not R or self._reserved>=R or job.job_id in self._done_res: return
        self._reserved+=1
        ready=job.ready_tasks()
        if not ready: return
        c=ready[0].spec.needs.cores
        until=self._now+V.get("H",0.1)
        frees={}
        n=len(ready)
        n=min(n,int(V.get("maxw",8)))
        for at,w,f in self.upcoming:
            if at>until or n<=0: break
            if w in self._held: continue
            before=frees.get(w,self._free[w].cores); frees[w]=before+f
            if before<c<=before+f+_TOLERANCE:
                if self._free[w].cores>=c: continue
                self._held[w]=(at,before+f-c)
                n-=1

    def allowed(self, job, task, workers):
        if not self._held: return workers
        c=task.spec.needs.cores
        e=job.expected_s(task)*math.exp(V.get("q",0.84)*self._spread.deviation(job.offer.route))
        out=[]
        for w in workers:
            h=self._held.get(w.entry.name)
            if h is None or c<=h[1]+_TOLERANCE or self._now+e<=h[0]: out.append(w)
        return out

    _done_res=frozenset()

    def is_worth_placing(self, job):
        if not self._options.whole_jobs or job.run_count:
            return True
        hope=V.get("hope",0); defer=V.get("defer",0)
        if not (hope or defer): return True
        ready = job.ready_tasks()
        if not ready:
            return False
        cores = ready[0].spec.needs.cores
        free_cores = {name: left.cores + _TOLERANCE for name, left in self._free.items()}
        start = last_start(self._now, cores, len(ready), free_cores, ())
        if start == self._now and not hope: return True
        if start is None:
            start = last_start(self._now, cores, len(ready), free_cores, self.upcoming)
        if start is None:
            start = self._now + _HORIZON_S
        run_s = self._median_s(job)
        v=self.value(job,start,run_s)
        if self._short and v<hope: return False
        if defer and self._deferring and v < defer*self.value(job,self._now,run_s):
            self._deferred.append(job)
            return False
        return True

    def choose_worker(self, job, task, workers, free, times, avoid_fast, max_slowdown):
        w = self._choose(job, task, self.allowed(job, task, workers), free, times, avoid_fast, max_slowdown)
        if w is None:
            self.reserve(job); return None
        if V.get("up",0):
            e=self._median_s(job); due=min(job.due,job.deadline); sl=times.rounded_slowdowns
            if self._now+e*sl.get(w.entry.name,1.0)>due>=self._now+e and not job.run_count:
                c=task.spec.needs.cores
                frees={}
                for at,name,f in self.upcoming:
                    if at+e*V.get("upm",1.0)>due: break
                    frees[name]=frees.get(name,free[name].cores)+f
                    if frees[name]+_TOLERANCE>=c and at+e*sl.get(name,1.0)<=due: return None
        return w

    def _choose(self, job, task, workers, free, times, avoid_fast, max_slowdown):
        if not V.get("gapw", 0):
            from poplarhilld.leading.placement import choose_worker
            return choose_worker(job, task, workers, free, times, avoid_fast, max_slowdown)
        best=None; chosen=None
        step=task.spec
        cores, memory_mb, accelerators = step.needs
        service, label, data_rack = job.offer.service, step.label, step.data_rack
        slow=times.rounded_slowdowns
        gaps=self.gaps
        beta=V.get("beta",1)
        due=min(job.due,job.deadline)
        e=self._median_s(job)
        for worker in workers:
            entry=worker.entry; name=entry.name; left=free[name]
            if left.cores+_TOLERANCE<cores or left.memory_mb<memory_mb or left.accelerators<accelerators or entry.service!=service or (label and label not in entry.labels): continue
            if step.max_per_worker and job.on_worker(task.step,name)>=step.max_per_worker: continue
            slowdown=slow.get(name,1.0)
            if slowdown>max_slowdown: continue
            pen=1+beta*gaps.unusable(left.cores-cores)/cores
            key0=slowdown
            if avoid_fast and slowdown<=1.3: key0=1/slowdown*V.get("slowpref",1)
            if V.get("lex",0):
                k=(-slowdown if avoid_fast and slowdown<=1.3 else slowdown, pen)
            else: k=(key0*pen, 0)
            key=(name in task.avoid, bool(data_rack) and entry.rack!=data_rack, V.get("ot",0) and self._now+e*slowdown>due, *k, left.cores, name)
            if best is None or key<best: best,chosen=key,worker
        return chosen

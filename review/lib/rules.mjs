// Judges the rules of PROTOCOL-magpielift.md from what users and workers see, and from nothing else.

export class Rules {
  /** Where each task is now: by task, a list of `{hop, machine}`. */
  places = new Map();
  completedTasks = new Set();
  withdrawnAt = new Map();
  broken = [];
  notices = new Set();

  constructor({ jobs, cancelSeconds, record }) {
    Object.assign(this, { jobs, cancelSeconds, record });
  }

  seconds() {
    return performance.now() / 1000;
  }

  report(rule, text) {
    const line = `${rule}: ${text}`;
    if (this.notices.has(line)) return;
    this.notices.add(line);
    this.broken.push({ rule, text });
    this.record(`RULE BROKEN ${line}`);
  }

  on(chick, hop, machine) {
    const job = chick.slice(0, chick.lastIndexOf('/'));
    const spec = this.jobs.get(job);
    const here = this.places.get(chick) ?? [];
    this.record(`${machine.ref}: ${chick} hop ${hop} is on the machine (${machine.grove})`);
    for (const other of here)
      if (other.machine !== machine)
        this.report('ran_twice', `${chick} starts on ${machine.ref} while it is on ${other.machine.ref}`);
    const others = [...this.places].filter(([name]) => name !== chick && name.startsWith(`${job}/`));
    const zones = others.flatMap(([, list]) => list.map((place) => place.machine.grove));
    const wrong =
      (spec.grove !== null && spec.grove !== machine.grove) ||
      (spec.breeds !== null && !spec.breeds.includes(machine.breed)) ||
      (!spec.loaners && machine.loaners) ||
      (spec.same_place && zones.some((zone) => zone !== machine.grove)) ||
      (spec.apart && zones.filter((zone) => zone === machine.grove).length + 1 > Math.ceil(spec.chicks / 2));
    const where = others.flatMap(([name, list]) => list.map((p) => `${name} on ${p.machine.ref} in ${p.machine.grove}`));
    if (wrong)
      this.report('wrong_place', `${chick} starts on ${machine.ref} in ${machine.grove} while ${where.join(', ')}`);
    this.places.set(chick, [...here, { hop, machine }]);
    this.checkCancelled();
  }

  off(chick, hop, machine, why) {
    this.checkCancelled();
    this.record(`${machine.ref}: ${chick} hop ${hop} is no longer on the machine (${why})`);
    const left = (this.places.get(chick) ?? []).filter((place) => place.hop !== hop || place.machine !== machine);
    if (left.length > 0) this.places.set(chick, left);
    else this.places.delete(chick);
  }

  completed(chick) {
    this.completedTasks.add(chick);
  }

  onWithdrawn(job) {
    if (!this.withdrawnAt.has(job)) this.withdrawnAt.set(job, this.seconds());
  }

  /** A task that is on a machine, or starts, more than `cancel_s` after its user was told breaks `ran_cancelled`. */
  checkCancelled() {
    for (const [job, at] of this.withdrawnAt) {
      if (this.seconds() - at <= this.cancelSeconds) continue;
      for (const [chick, list] of this.places)
        if (chick.startsWith(`${job}/`))
          this.report('ran_cancelled', `${chick} is on ${list[0].machine.ref} more than ${this.cancelSeconds} s later`);
    }
  }

  tasksOf(job) {
    return [...this.places].filter(([chick]) => chick.startsWith(`${job}/`));
  }
}

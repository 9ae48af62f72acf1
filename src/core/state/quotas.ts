/** What each team may have on machines, and what it has. */
import type { TeamExposure } from '../../recovery/index.js';
import type { JobSpec, TeamName, TeamQuota } from '../types.js';

/** Sums of decimal amounts differ from what they should be by less than this. */
const TOLERANCE = 1e-9;

/** What a team's tasks take, or machines have. */
interface Usage {
  cpus: number;
  gpus: number;
}

const NO_USAGE: Usage = { cpus: 0, gpus: 0 };

/** Everything that was sent to a machine counts until it is proven gone. */
export class Quotas {
  private readonly teams = new Map<TeamName, TeamQuota>();
  private readonly usage = new Map<TeamName, Usage>();
  /** Capacity of machines that may hold anybody's tasks: it counts against every limited team. */
  unreconciledCapacity: Usage = { cpus: 0, gpus: 0 };
  /** Capacity of machines that hold tasks of jobs that aren't known: whose they are can't be told, so it counts alike. */
  readonly unattributedCapacity: Usage = { cpus: 0, gpus: 0 };
  /** Of `unreconciledCapacity`, what each team's tasks may take at most; null: all of it. */
  exposure: TeamExposure | null = null;

  constructor(teams: readonly TeamQuota[]) {
    for (const team of teams) {
      this.teams.set(team.name, team);
      this.usage.set(team.name, { cpus: 0, gpus: 0 });
    }
  }

  /** Teams in the order of the settings. */
  teamsInOrder(): Iterable<TeamQuota> {
    return this.teams.values();
  }

  /** Counts tasks that got a placement, or with a negative number such as lost theirs. */
  recordUsage(spec: JobSpec, tasks: number): void {
    const use = this.usage.get(spec.team);
    if (!use) return;
    use.cpus += spec.cpus * tasks;
    use.gpus += spec.gpus * tasks;
  }

  /** Returns how many more tasks like these the team's limit allows now; infinite where it has none. */
  remainingTasks(spec: JobSpec): number {
    const team = this.teams.get(spec.team);
    const use = this.usage.get(spec.team);
    if (!team || !use) return 0;
    const unseen = this.exposure === null ? this.unreconciledCapacity : (this.exposure.get(spec.team) ?? NO_USAGE);
    return Math.min(
      tasksWithinLimit(team.limit.cpus, use.cpus + unseen.cpus + this.unattributedCapacity.cpus, spec.cpus),
      tasksWithinLimit(team.limit.gpus, use.gpus + unseen.gpus + this.unattributedCapacity.gpus, spec.gpus),
    );
  }

  /** Counts a machine with tasks of unknown jobs, or with -1 one that has none any more. */
  addUnattributed({ cpus, gpus }: Usage, machines: 1 | -1): void {
    this.unattributedCapacity.cpus += cpus * machines;
    this.unattributedCapacity.gpus += gpus * machines;
  }

  /** Whether any team has a limit. */
  get hasLimits(): boolean {
    for (const { limit } of this.teams.values()) if (limit.cpus > 0 || limit.gpus > 0) return true;
    return false;
  }
}

/** Returns whether a job could ever run within its team's limit: one task of an array, all tasks of anything else. */
export function fitsTeamLimit(team: TeamQuota, spec: JobSpec): boolean {
  const tasks = spec.kind === 'array' ? 1 : spec.taskCount;
  const fits = (limit: number, each: number) => limit <= 0 || each * tasks <= limit + TOLERANCE;
  return fits(team.limit.cpus, spec.cpus) && fits(team.limit.gpus, spec.gpus);
}

/** How many more tasks a limit allows; a limit of 0 means none. */
function tasksWithinLimit(limit: number, used: number, each: number): number {
  if (limit <= 0 || each <= 0) return Number.POSITIVE_INFINITY;
  return Math.max(0, Math.floor((limit - used) / each + TOLERANCE));
}

import type { TeamExposure } from '../../recovery/index.js';
import type { JobSpec, TeamName, TeamQuota } from '../types.js';

/** Sums of decimal amounts differ from what they should be by less than this. */
const TOLERANCE = 1e-9;

/** What a team's tasks take. */
interface Use {
  cpus: number;
  gpus: number;
}

const NOTHING: Use = { cpus: 0, gpus: 0 };

/** What each team may have on machines: everything sent, fetching, running or saving counts until proven gone. */
export class Quotas {
  private readonly teams = new Map<TeamName, TeamQuota>();
  private readonly use = new Map<TeamName, Use>();
  /** Capacity of machines that may hold anybody's tasks: it counts against every limited team. */
  unreconciled: Use = { cpus: 0, gpus: 0 };
  /** Capacity of machines that hold tasks of jobs that aren't known: whose they are can't be told, so it counts alike. */
  readonly unattributed: Use = { cpus: 0, gpus: 0 };
  /** Of `unreconciled`, what each team's tasks may take at most; null: all of it. */
  exposure: TeamExposure | null = null;

  constructor(teams: readonly TeamQuota[]) {
    for (const team of teams) {
      this.teams.set(team.name, team);
      this.use.set(team.name, { cpus: 0, gpus: 0 });
    }
  }

  teamsInOrder(): Iterable<TeamQuota> {
    return this.teams.values();
  }

  /** Counts tasks that got a place, or with a negative number such as lost theirs. */
  add(spec: JobSpec, tasks: number): void {
    const use = this.use.get(spec.team);
    if (!use) return;
    use.cpus += spec.cpus * tasks;
    use.gpus += spec.gpus * tasks;
  }

  /** How many more tasks of this kind the team's limit allows now. */
  room(spec: JobSpec): number {
    const team = this.teams.get(spec.team);
    const use = this.use.get(spec.team);
    if (!team || !use) return 0;
    const unseen = this.exposure === null ? this.unreconciled : (this.exposure.get(spec.team) ?? NOTHING);
    return Math.min(
      roomFor(team.cpuLimit, use.cpus + unseen.cpus + this.unattributed.cpus, spec.cpus),
      roomFor(team.gpuLimit, use.gpus + unseen.gpus + this.unattributed.gpus, spec.gpus),
    );
  }

  /** Counts a machine with tasks of unknown jobs, or with -1 one that has none any more. */
  addUnattributed({ cpus, gpus }: Use, machines: 1 | -1): void {
    this.unattributed.cpus += cpus * machines;
    this.unattributed.gpus += gpus * machines;
  }

  /** Whether any team has a limit. */
  get isAnyLimited(): boolean {
    for (const { cpuLimit, gpuLimit } of this.teams.values()) if (cpuLimit > 0 || gpuLimit > 0) return true;
    return false;
  }
}

/** Whether a job could ever run within its team's limit: one task of an array, all tasks of anything else. */
export function withinLimit(team: TeamQuota, spec: JobSpec): boolean {
  const tasks = spec.kind === 'array' ? 1 : spec.taskCount;
  const fits = (limit: number, each: number) => limit <= 0 || each * tasks <= limit + TOLERANCE;
  return fits(team.cpuLimit, spec.cpus) && fits(team.gpuLimit, spec.gpus);
}

/** How many more tasks a limit allows; a limit of 0 means none. */
function roomFor(limit: number, used: number, each: number): number {
  if (limit <= 0 || each <= 0) return Number.POSITIVE_INFINITY;
  return Math.max(0, Math.floor((limit - used) / each + TOLERANCE));
}

/** The quota of each team, and how much of it the team uses. */
import type { TeamExposure } from '../../recovery/index.js';
import type { JobSpec, TeamName, TeamQuota } from '../types.js';

/** Upper limit of the rounding error in sums of decimal amounts. */
const TOLERANCE = 1e-9;

/** An amount of resources used by a team's tasks, or the capacity of machines. */
interface Usage {
  cpus: number;
  gpus: number;
}

const NO_USAGE: Usage = { cpus: 0, gpus: 0 };

/** Tracks usage by team. A task counts from its placement until it is proven not to be on the machine. */
export class Quotas {
  private readonly teams = new Map<TeamName, TeamQuota>();
  private readonly usage = new Map<TeamName, Usage>();
  /** Capacity of machines that may hold tasks of any team. It counts against every team with a limit. */
  unreconciledCapacity: Usage = { cpus: 0, gpus: 0 };
  /**
   * Capacity of machines that hold tasks of unknown jobs. It counts against every team with a limit, because the teams
   * of these tasks cannot be determined.
   */
  readonly unattributedCapacity: Usage = { cpus: 0, gpus: 0 };
  /**
   * The most that the tasks of each team can use of `unreconciledCapacity`. Null means that all of it counts against
   * each team.
   */
  exposure: TeamExposure | null = null;

  constructor(teams: readonly TeamQuota[]) {
    for (const team of teams) {
      this.teams.set(team.name, team);
      this.usage.set(team.name, { cpus: 0, gpus: 0 });
    }
  }

  /** Returns the teams in the order of the settings. */
  teamsInOrder(): Iterable<TeamQuota> {
    return this.teams.values();
  }

  /** Adds tasks that got placements to the usage of their team. A negative number subtracts tasks that lost theirs. */
  recordUsage(spec: JobSpec, tasks: number): void {
    const use = this.usage.get(spec.team);
    if (!use) return;
    use.cpus += spec.cpus * tasks;
    use.gpus += spec.gpus * tasks;
  }

  /** Returns how many more tasks of this spec the team's limit allows now. Infinite if the team has no limit. */
  remainingTasks(spec: JobSpec): number {
    const team = this.teams.get(spec.team);
    const use = this.usage.get(spec.team);
    if (!team || !use) return 0;
    const unreconciled =
      this.exposure === null ? this.unreconciledCapacity : (this.exposure.get(spec.team) ?? NO_USAGE);
    return Math.min(
      tasksWithinLimit(team.limit.cpus, use.cpus + unreconciled.cpus + this.unattributedCapacity.cpus, spec.cpus),
      tasksWithinLimit(team.limit.gpus, use.gpus + unreconciled.gpus + this.unattributedCapacity.gpus, spec.gpus),
    );
  }

  /**
   * Adds the capacity of a machine with tasks of unknown jobs. With -1, subtracts that of a machine that has none any
   * more.
   */
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

/**
 * Returns whether the job could ever run within its team's limit. One task of an array has to fit. Of any other kind of
 * job, all tasks have to fit.
 */
export function fitsTeamLimit(team: TeamQuota, spec: JobSpec): boolean {
  const tasks = spec.kind === 'array' ? 1 : spec.taskCount;
  const fits = (limit: number, each: number) => limit <= 0 || each * tasks <= limit + TOLERANCE;
  return fits(team.limit.cpus, spec.cpus) && fits(team.limit.gpus, spec.gpus);
}

/** Returns how many more tasks a limit allows. A limit of 0 means no limit. */
function tasksWithinLimit(limit: number, used: number, each: number): number {
  if (limit <= 0 || each <= 0) return Number.POSITIVE_INFINITY;
  return Math.max(0, Math.floor((limit - used) / each + TOLERANCE));
}

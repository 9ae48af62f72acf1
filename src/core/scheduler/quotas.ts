import type { JobSpec, Team, TeamName } from '../types.js';

interface Use {
  cpus: number;
  gpus: number;
}

/** What each team may have on machines: everything sent, fetching, running or saving counts until proven gone. */
export class Quotas {
  private readonly teams = new Map<TeamName, Team>();
  private readonly use = new Map<TeamName, Use>();
  /** Capacity of machines that may hold anybody's tasks: it counts against every limited team. */
  unreconciled: Use = { cpus: 0, gpus: 0 };

  constructor(teams: readonly Team[]) {
    for (const team of teams) {
      this.teams.set(team.name, team);
      this.use.set(team.name, { cpus: 0, gpus: 0 });
    }
  }

  team(name: TeamName): Team | undefined {
    return this.teams.get(name);
  }

  teamsInOrder(): Iterable<Team> {
    return this.teams.values();
  }

  used(name: TeamName): Use {
    return this.use.get(name) ?? { cpus: 0, gpus: 0 };
  }

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
    return Math.min(
      roomFor(team.cpusMax, use.cpus + this.unreconciled.cpus, spec.cpus),
      roomFor(team.gpusMax, use.gpus + this.unreconciled.gpus, spec.gpus),
    );
  }
}

/** Whether a job could ever run within its team's limit. */
export function withinLimit(team: Team, spec: JobSpec): boolean {
  const n = spec.shape === 'array' ? 1 : spec.tasks;
  const ok = (max: number, each: number) => max <= 0 || each * n <= max + 1e-9;
  return ok(team.cpusMax, spec.cpus) && ok(team.gpusMax, spec.gpus);
}

function roomFor(max: number, used: number, each: number): number {
  if (max <= 0 || each <= 0) return Number.POSITIVE_INFINITY;
  return Math.max(0, Math.floor((max - used) / each + 1e-9));
}

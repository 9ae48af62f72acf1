import { type RandomGenerator, unsafeUniformIntDistribution } from 'pure-rand';
import type { ZoneName } from '../types.js';
import type { Plan, PlanJob, PlanMachine, Planner } from './planner.js';

export interface SearchSettings {
  readonly individuals: number;
  readonly generations: number;
  readonly mutation: number;
  /** Most plan steps that one search may spend. */
  readonly planSteps: number;
}

interface Individual {
  readonly genes: ZoneName[];
  readonly plan: Plan;
}

/** The upper layer of EVO-GP: evolves one zone per waiting job and returns the best plan found. */
export class Evolution {
  constructor(
    private readonly planner: Planner,
    private readonly random: RandomGenerator,
    private readonly settings: SearchSettings,
  ) {}

  private below(n: number): number {
    return n <= 1 ? 0 : unsafeUniformIntDistribution(0, n - 1, this.random);
  }

  private pick<T>(from: readonly T[]): T {
    return from[this.below(from.length)] as T;
  }

  /** `seed`: zones to start from beside the random ones, where something better than chance is known. */
  search(machines: readonly PlanMachine[], jobs: readonly PlanJob[], seed: ZoneName[] | null = null): Plan {
    const evaluate = (genes: ZoneName[]): Individual => ({
      genes,
      plan: this.planner.plan(machines, jobs, genes),
    });
    const randomGenes = (): ZoneName[] => jobs.map((j) => this.pick(j.zones));
    const first = evaluate(seed ?? randomGenes());
    // With one feasible zone for every job there is nothing to search: the planner alone decides.
    if (jobs.every((j) => j.zones.length === 1)) return first.plan;
    const { individuals, generations, planSteps } = this.settings;
    let spent = first.plan.steps;
    let population: Individual[] = [first];
    while (population.length < individuals && spent < planSteps) {
      const next = evaluate(randomGenes());
      spent += next.plan.steps;
      population.push(next);
    }
    for (let g = 0; g < generations && spent < planSteps && population.length > 1; g++) {
      const offspring: Individual[] = [];
      while (offspring.length < individuals && spent < planSteps) {
        for (const genes of this.cross(this.pick(population).genes, this.pick(population).genes)) {
          this.mutate(genes, jobs);
          const child = evaluate(genes);
          spent += child.plan.steps;
          offspring.push(child);
        }
      }
      population = [...population, ...offspring].sort((a, b) => a.plan.cost - b.plan.cost).slice(0, individuals);
    }
    let best = population[0] as Individual;
    for (const i of population) if (i.plan.cost < best.plan.cost) best = i;
    return best.plan;
  }

  private cross(a: readonly ZoneName[], b: readonly ZoneName[]): [ZoneName[], ZoneName[]] {
    if (a.length < 2) return [a.slice(), b.slice()];
    const cut = 1 + this.below(a.length - 1);
    return [
      [...a.slice(0, cut), ...b.slice(cut)],
      [...b.slice(0, cut), ...a.slice(cut)],
    ];
  }

  private mutate(genes: ZoneName[], jobs: readonly PlanJob[]): void {
    if (this.below(1000) >= this.settings.mutation * 1000) return;
    const i = this.below(genes.length);
    const job = jobs[i] as PlanJob;
    if (this.below(2) === 0) {
      genes[i] = this.pick(job.zones);
      return;
    }
    const mine = genes[i] as ZoneName;
    const partners: number[] = [];
    for (let k = 0; k < genes.length; k++) {
      const theirs = genes[k] as ZoneName;
      if (k !== i && theirs !== mine && job.zones.includes(theirs) && (jobs[k] as PlanJob).zones.includes(mine)) {
        partners.push(k);
      }
    }
    if (partners.length === 0) return;
    const k = this.pick(partners);
    genes[i] = genes[k] as ZoneName;
    genes[k] = mine;
  }
}

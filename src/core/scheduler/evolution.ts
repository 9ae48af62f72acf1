import { type RandomGenerator, unsafeUniformIntDistribution } from 'pure-rand';
import type { ZoneName } from '../types.js';
import type { Plan, PlanJob, PlanMachine } from './plan_types.js';
import type { Planner } from './planner.js';

export interface SearchSettings {
  readonly individuals: number;
  readonly generations: number;
  readonly mutation: number;
  /** Most plan steps that one search may spend. */
  readonly planSteps: number;
}

/** Chances are drawn in thousandths. */
const MUTATION_SCALE = 1000;

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

  /** A random number from 0 to below `limit`. */
  private below(limit: number): number {
    return limit <= 1 ? 0 : unsafeUniformIntDistribution(0, limit - 1, this.random);
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
    for (let generation = 0; generation < generations && population.length > 1; generation++) {
      if (spent >= planSteps) break;
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
    for (const individual of population) if (individual.plan.cost < best.plan.cost) best = individual;
    return best.plan;
  }

  /** Single-point crossover: two offspring with the parents' genes exchanged behind the point. */
  private cross(first: readonly ZoneName[], second: readonly ZoneName[]): [ZoneName[], ZoneName[]] {
    if (first.length < 2) return [first.slice(), second.slice()];
    const point = 1 + this.below(first.length - 1);
    return [
      [...first.slice(0, point), ...second.slice(point)],
      [...second.slice(0, point), ...first.slice(point)],
    ];
  }

  /** At the mutation rate, moves one job to a feasible zone or swaps the zones of two. */
  private mutate(genes: ZoneName[], jobs: readonly PlanJob[]): void {
    if (this.below(MUTATION_SCALE) >= this.settings.mutation * MUTATION_SCALE) return;
    const index = this.below(genes.length);
    const job = jobs[index] as PlanJob;
    if (this.below(2) === 0) genes[index] = this.pick(job.zones);
    else this.swap(genes, jobs, index);
  }

  private swap(genes: ZoneName[], jobs: readonly PlanJob[], index: number): void {
    const { zones } = jobs[index] as PlanJob;
    const zone = genes[index] as ZoneName;
    const partners: number[] = [];
    genes.forEach((other, k) => {
      const feasible = zones.includes(other) && (jobs[k] as PlanJob).zones.includes(zone);
      if (k !== index && other !== zone && feasible) partners.push(k);
    });
    if (partners.length === 0) return;
    const partner = this.pick(partners);
    genes[index] = genes[partner] as ZoneName;
    genes[partner] = zone;
  }
}

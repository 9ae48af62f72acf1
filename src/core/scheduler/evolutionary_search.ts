/** The upper layer of EVO-GP, evolutionary job allocation: Algorithm 1 and Section III-B of the paper. */
import { type RandomGenerator, unsafeUniformIntDistribution } from 'pure-rand';
import type { ZoneName } from '../types.js';
import type { Plan, PlanJob, PlanMachine } from './plan_types.js';
import type { Planner } from './planner.js';
import type { SearchSettings } from './policy.js';

/** Chances are drawn in thousandths. */
const MUTATION_SCALE = 1000;

/** One assignment of zones (Section III-B1): each job has one, so that Eqs. (6) and (7) hold of themselves. */
interface Individual {
  /** By job index, the zone. */
  readonly genes: readonly ZoneName[];
  readonly plan: Plan;
}

/** Evolves one zone for each job; the planner makes a plan of each assignment and tells its fitness. */
export class EvolutionarySearch {
  /** Plan steps that the search in progress has spent. */
  private stepsSpent = 0;

  constructor(
    private readonly planner: Planner,
    private readonly random: RandomGenerator,
    private readonly settings: SearchSettings,
  ) {}

  /** A random whole number from 0 to below `limit`. */
  private randomBelow(limit: number): number {
    return limit <= 1 ? 0 : unsafeUniformIntDistribution(0, limit - 1, this.random);
  }

  private pickRandom<T>(from: readonly T[]): T {
    return from[this.randomBelow(from.length)] as T;
  }

  /**
   * Returns the plan with the lowest cost of those tried. `informedGenes`: zones to start from beside the random ones, where
   * something better than chance is known; null: none.
   */
  search(
    machines: readonly PlanMachine[],
    jobs: readonly PlanJob[],
    informedGenes: readonly ZoneName[] | null = null,
  ): Plan {
    this.stepsSpent = 0;
    const evaluate = (genes: readonly ZoneName[]): Individual => {
      const plan = this.planner.plan(machines, jobs, genes);
      this.stepsSpent += plan.steps;
      return { genes, plan };
    };
    const randomGenes = (): ZoneName[] => jobs.map(({ feasibleZones }) => this.pickRandom(feasibleZones));
    const first = evaluate(informedGenes ?? randomGenes());
    // With one feasible zone for every job there is nothing to search: the planner alone decides.
    if (jobs.every(({ feasibleZones }) => feasibleZones.length === 1)) return first.plan;
    const { populationSize, generations } = this.settings;
    let population: Individual[] = [first];
    while (population.length < populationSize && this.hasStepsLeft()) population.push(evaluate(randomGenes()));
    for (let generation = 0; generation < generations && population.length > 1 && this.hasStepsLeft(); generation++) {
      const offspring = this.breed(population, jobs, evaluate);
      population = [...population, ...offspring]
        .sort((first, second) => first.plan.cost - second.plan.cost)
        .slice(0, populationSize);
    }
    const best = population.reduce((least, other) => (other.plan.cost < least.plan.cost ? other : least));
    return best.plan;
  }

  private hasStepsLeft(): boolean {
    return this.stepsSpent < this.settings.maxPlanSteps;
  }

  /** Lines 5 to 17 of Algorithm 1: a generation of offspring of parents drawn from the population. */
  private breed(
    population: readonly Individual[],
    jobs: readonly PlanJob[],
    evaluate: (genes: readonly ZoneName[]) => Individual,
  ): Individual[] {
    const offspring: Individual[] = [];
    while (offspring.length < this.settings.populationSize && this.hasStepsLeft()) {
      const children = this.crossover(this.pickRandom(population).genes, this.pickRandom(population).genes);
      for (const genes of children) {
        this.mutate(genes, jobs);
        offspring.push(evaluate(genes));
      }
    }
    return offspring;
  }

  /** Section III-B3, single-point crossover: two offspring with the parents' genes exchanged behind the point. */
  private crossover(first: readonly ZoneName[], second: readonly ZoneName[]): [ZoneName[], ZoneName[]] {
    if (first.length < 2) return [first.slice(), second.slice()];
    const point = 1 + this.randomBelow(first.length - 1);
    return [
      [...first.slice(0, point), ...second.slice(point)],
      [...second.slice(0, point), ...first.slice(point)],
    ];
  }

  /** Section III-B3, mutation: at the mutation rate, moves one job to a feasible zone or swaps the zones of two. */
  private mutate(genes: ZoneName[], jobs: readonly PlanJob[]): void {
    if (this.randomBelow(MUTATION_SCALE) >= this.settings.mutationRate * MUTATION_SCALE) return;
    const index = this.randomBelow(genes.length);
    const job = jobs[index] as PlanJob;
    if (this.randomBelow(2) === 0) genes[index] = this.pickRandom(job.feasibleZones);
    else this.swapZones(genes, jobs, index);
  }

  /** Swaps with a job of another zone where each may use the other's (Eq. (10)); does nothing where there is none. */
  private swapZones(genes: ZoneName[], jobs: readonly PlanJob[], index: number): void {
    const { feasibleZones } = jobs[index] as PlanJob;
    const zone = genes[index] as ZoneName;
    const partners: number[] = [];
    genes.forEach((otherZone, other) => {
      if (other === index || otherZone === zone) return;
      const isFeasible = feasibleZones.includes(otherZone) && (jobs[other] as PlanJob).feasibleZones.includes(zone);
      if (isFeasible) partners.push(other);
    });
    if (partners.length === 0) return;
    const partner = this.pickRandom(partners);
    genes[index] = genes[partner] as ZoneName;
    genes[partner] = zone;
  }
}

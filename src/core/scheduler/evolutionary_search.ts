/**
 * Evolutionary search for the zone of each job. This is the upper layer of EVO-GP, Algorithm 1 and Section III-B of
 * "Two-Layer Evolutionary Scheduling for Machine Learning Jobs in Multi-Cluster Environments". Comments call this work
 * the EVO-GP paper.
 */
import { type RandomGenerator, unsafeUniformIntDistribution } from 'pure-rand';
import type { ZoneName } from '../types.js';
import type { Plan, PlanJob, PlanMachine } from './plan_types.js';
import type { Planner } from './planner.js';
import type { SearchSettings } from './policy.js';

/** Resolution of the random draw for mutations. The mutation rate is compared in thousandths. */
const MUTATION_SCALE = 1000;

/**
 * One assignment of zones (Section III-B1) and its plan. Each job has exactly one zone, so that Eqs. (6) and (7) are
 * always satisfied.
 */
interface Individual {
  /** The zone of each job, by job index. */
  readonly genes: readonly ZoneName[];
  readonly plan: Plan;
}

/** Searches for the assignment of one zone to each job whose plan has the lowest cost, as evaluated by the planner. */
export class EvolutionarySearch {
  /** Plan steps that the search in progress has used. */
  private stepsSpent = 0;

  constructor(
    private readonly planner: Planner,
    private readonly random: RandomGenerator,
    private readonly settings: SearchSettings,
  ) {}

  /** Returns a random integer from 0 to `limit` - 1. */
  private randomBelow(limit: number): number {
    return limit <= 1 ? 0 : unsafeUniformIntDistribution(0, limit - 1, this.random);
  }

  private pickRandom<T>(from: readonly T[]): T {
    return from[this.randomBelow(from.length)] as T;
  }

  /**
   * Returns the plan with the lowest cost among those evaluated. `informedGenes` is a known good assignment that
   * replaces the first random one. With null, all initial assignments are random.
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
    // If every job has exactly one feasible zone, there is only one assignment and nothing to search.
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

  /** Lines 5 to 17 of Algorithm 1. Returns one generation of offspring, whose parents are drawn from the population. */
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

  /** Single-point crossover (Section III-B3). Returns two offspring with the parents' genes swapped after the point. */
  private crossover(first: readonly ZoneName[], second: readonly ZoneName[]): [ZoneName[], ZoneName[]] {
    if (first.length < 2) return [first.slice(), second.slice()];
    const point = 1 + this.randomBelow(first.length - 1);
    return [
      [...first.slice(0, point), ...second.slice(point)],
      [...second.slice(0, point), ...first.slice(point)],
    ];
  }

  /**
   * Mutation (Section III-B3). With the probability of the mutation rate, assigns one job to a random feasible zone or
   * swaps the zones of two jobs.
   */
  private mutate(genes: ZoneName[], jobs: readonly PlanJob[]): void {
    if (this.randomBelow(MUTATION_SCALE) >= this.settings.mutationRate * MUTATION_SCALE) return;
    const index = this.randomBelow(genes.length);
    const job = jobs[index] as PlanJob;
    if (this.randomBelow(2) === 0) genes[index] = this.pickRandom(job.feasibleZones);
    else this.swapZones(genes, jobs, index);
  }

  /**
   * Swaps the zone with a random job in another zone, provided that each zone is feasible for the other job (Eq. (10)).
   * Does nothing if there is no such job.
   */
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

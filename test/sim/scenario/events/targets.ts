/** Resolves the arguments of events: controllers, workers, hosts and the duration of a fault. */
import type { ControllerProcess } from '../../controller_process.js';
import type { SimulatedWorker } from '../../worker.js';
import type { World } from '../../world.js';

/** Executes an event now. `words` are the words after its name. */
type ScenarioEvent = (world: World, words: string[]) => void;
/** Events by their names in a scenario. */
export type EventTable = Readonly<Record<string, ScenarioEvent>>;

/**
 * Returns the controllers that a word names: `all`, `leader` (the first controller if there is no leader), `followers`,
 * or the name of a controller.
 */
export function controllersNamed(world: World, which: string | undefined): ControllerProcess[] {
  if (which === 'all') return world.controllers.slice();
  if (which === 'leader') return [world.leader() ?? world.controllers[0]].filter((found) => found !== undefined);
  if (which === 'followers') return world.controllers.filter((controller) => controller !== world.leader());
  return world.controllers.filter((controller) => controller.name === which);
}

/**
 * Returns the workers that a word names: `all`, `zone:ZONE`, `busy` (one worker with tasks), `some:N` (N workers,
 * evenly spread over all), or the id of a machine.
 */
export function workersNamed(world: World, which: string | undefined): SimulatedWorker[] {
  const all = [...world.workers.values()];
  if (which === 'all') return all;
  if (which?.startsWith('zone:')) return all.filter((worker) => worker.zone === which.slice('zone:'.length));
  if (which === 'busy') return all.filter((worker) => worker.tasks.size > 0).slice(0, 1);
  if (which?.startsWith('some:')) return someOf(world, all, Number(which.slice('some:'.length)));
  return all.filter((worker) => worker.id === which);
}

function someOf(world: World, all: readonly SimulatedWorker[], count: number): SimulatedWorker[] {
  const step = Math.max(1, Math.floor(all.length / count));
  const from = Math.floor(world.clock.randomBetween(0, step));
  return all.filter((_, i) => i % step === from % step).slice(0, count);
}

/** Returns the network host names of the controllers and machines that a word names. */
export function hostsNamed(world: World, which: string | undefined): string[] {
  return [
    ...controllersNamed(world, which).map((controller) => controller.name as string),
    ...workersNamed(world, which).map((worker) => worker.id as string),
  ];
}

/**
 * Records the end of a fault, so that the invariants know when all faults are over. Returns its duration in
 * milliseconds.
 */
export function noteFault(world: World, seconds: string | undefined): number {
  const ms = Number(seconds) * 1000;
  world.invariants.faultsUntil = Math.max(world.invariants.faultsUntil, world.clock.now + ms);
  return ms;
}

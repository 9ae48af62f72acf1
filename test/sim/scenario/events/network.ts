import { STATE_STORE_HOST } from '../../network.js';
import type { World } from '../../world.js';
import { controllersNamed, type EventTable, hostsNamed, noteFault, workersNamed } from './targets.js';

type Mode = Parameters<World['network']['partition']>[3];

const modeNamed = (word: string | undefined): Mode => (word === 'delay' ? 'delay' : 'drop');

/** The hosts that a partition separates from, by the word of the scenario. */
function partitionPeers(world: World, from: string | undefined): string[] {
  if (from === 'workers') return [...world.workers.keys()];
  if (from === 'control-plane') return [STATE_STORE_HOST, ...controllerNames(world)];
  return [from ?? '*'];
}

const controllerNames = (world: World): string[] => world.controllers.map(({ name }) => name as string);

/** What happens to messages on their way. */
export const networkEvents: EventTable = {
  /**
   * partition CONTROLLER|MACHINE state-store|cloud|workers|users|control-plane|*|HOST S drop|delay|refuse: `control-plane` are
   * the state store and the other controllers; `refuse`: the state store answers 503, the rest is dropped
   */
  partition(world, [which, from, seconds, mode]) {
    const isRefused = mode === 'refuse';
    const others = partitionPeers(world, from).filter((other) => !isRefused || other !== STATE_STORE_HOST);
    const ms = noteFault(world, seconds);
    for (const host of hostsNamed(world, which)) {
      if (isRefused) {
        world.stateStore.refusedHosts.add(host);
        world.clock.schedule(ms, () => world.stateStore.refusedHosts.delete(host));
      }
      for (const other of others) if (other !== host) world.network.partition(host, other, ms, modeNamed(mode));
    }
  },
  /** zone-partition ZONE CONTROLLER S drop|delay: machines of a zone and a controller are cut off from all others */
  'zone-partition'(world, [zone, which, seconds, mode]) {
    const ms = noteFault(world, seconds);
    const names = controllersNamed(world, which).map(({ name }) => name as string);
    const workers = [...world.workers.values()];
    const inside = workers.filter((worker) => worker.zone === zone).map((worker) => worker.id as string);
    const outside = [
      ...controllerNames(world).filter((name) => !names.includes(name)),
      ...workers.filter((worker) => worker.zone !== zone).map((worker) => worker.id as string),
      STATE_STORE_HOST,
      'cloud',
      'users',
    ];
    for (const inner of [...names, ...inside]) {
      for (const outer of outside) world.network.partition(inner, outer, ms, modeNamed(mode));
    }
  },
  /** machine-inbound-loss MACHINE S: its heartbeats arrive, responses and commands don't reach it */
  'machine-inbound-loss'(world, [which, seconds]) {
    for (const worker of workersNamed(world, which)) {
      world.network.partition(worker.id, '*', noteFault(world, seconds), 'drop', true);
    }
  },
  /** controller-outbound-loss CONTROLLER S: nothing that it says reaches any machine, by whatever way it goes */
  'controller-outbound-loss'(world, [which, seconds]) {
    const ms = noteFault(world, seconds);
    for (const controller of controllersNamed(world, which)) {
      for (const id of world.workers.keys()) world.network.partition(id, controller.name, ms, 'drop', true);
    }
  },
  /** controller-inbound-loss CONTROLLER S: what it says reaches the machines, and nothing that they say reaches it */
  'controller-inbound-loss'(world, [which, seconds]) {
    const ms = noteFault(world, seconds);
    for (const controller of controllersNamed(world, which)) {
      for (const id of world.workers.keys()) world.network.partition(controller.name, id, ms, 'drop', true);
    }
  },
  /** add-latency CONTROLLER|MACHINE MS S: each message to and from it takes up to MS longer */
  'add-latency'(world, [which, delayMs, seconds]) {
    const ms = noteFault(world, seconds);
    for (const host of hostsNamed(world, which)) world.network.addLatency(host, Number(delayMs), ms);
  },
  /** duplicate-heartbeats S: heartbeats sent in this time come once more, 1 to 60 s late, to any controller */
  'duplicate-heartbeats'(world, [seconds]) {
    world.duplicateHeartbeatsUntil = world.clock.now + noteFault(world, seconds);
    world.invariants.faultsUntil += 60_000;
  },
  /** lose-heartbeats MACHINE S: it reaches no controller, while pushed commands reach it */
  'lose-heartbeats'(world, [which, seconds]) {
    const ms = noteFault(world, seconds);
    for (const worker of workersNamed(world, which)) worker.heartbeatsLostUntil = world.clock.now + ms;
  },
  /** delay-heartbeats MACHINE S: the heartbeats of this time reach whoever leads afterwards */
  'delay-heartbeats'(world, [which, seconds]) {
    const ms = noteFault(world, seconds);
    for (const worker of workersNamed(world, which)) worker.heartbeatsDelayedUntil = world.clock.now + ms;
  },
};

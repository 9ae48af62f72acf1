/** Events on the network: partitions, one-way loss, latency, and lost, delayed or duplicate heartbeats. */
import { STATE_STORE_HOST } from '../../network.js';
import type { World } from '../../world.js';
import { controllersNamed, type EventTable, hostsNamed, noteFault, workersNamed } from './targets.js';

type Mode = Parameters<World['network']['partition']>[3];

const modeNamed = (word: string | undefined): Mode => (word === 'delay' ? 'delay' : 'drop');

/** Returns the hosts on the other side of a partition, by their name in a scenario. `*` stands for all hosts. */
function partitionPeers(world: World, from: string | undefined): string[] {
  if (from === 'workers') return [...world.workers.keys()];
  if (from === 'leader') return controllersNamed(world, from).map(({ name }) => name as string);
  if (from === 'control-plane') return [STATE_STORE_HOST, ...controllerNames(world)];
  return [from ?? '*'];
}

const controllerNames = (world: World): string[] => world.controllers.map(({ name }) => name as string);

/** Events on the network. */
export const networkEvents: EventTable = {
  /**
   * partition CONTROLLER|MACHINE state-store|cloud|workers|users|control-plane|leader|*|HOST S drop|delay|refuse: for S
   * seconds, messages between the two sides are dropped or delayed until the end. `control-plane` stands for the state
   * store and the other controllers. With `refuse`, the state store responds 503, and messages to and from other hosts
   * are dropped.
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
  /**
   * zone-partition ZONE CONTROLLER S drop|delay: the machines of a zone and a controller are partitioned from all other
   * hosts
   */
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
  /** machine-inbound-loss MACHINE S: its heartbeats arrive, but heartbeat responses and commands don't reach it */
  'machine-inbound-loss'(world, [which, seconds]) {
    for (const worker of workersNamed(world, which)) {
      world.network.partition(worker.id, '*', noteFault(world, seconds), 'drop', true);
    }
  },
  /**
   * controller-outbound-loss CONTROLLER S: no message from the controller, be it a response or a pushed command,
   * reaches any machine
   */
  'controller-outbound-loss'(world, [which, seconds]) {
    const ms = noteFault(world, seconds);
    for (const controller of controllersNamed(world, which)) {
      for (const id of world.workers.keys()) world.network.partition(id, controller.name, ms, 'drop', true);
    }
  },
  /** controller-inbound-loss CONTROLLER S: its messages reach the machines, but no message from them reaches it */
  'controller-inbound-loss'(world, [which, seconds]) {
    const ms = noteFault(world, seconds);
    for (const controller of controllersNamed(world, which)) {
      for (const id of world.workers.keys()) world.network.partition(controller.name, id, ms, 'drop', true);
    }
  },
  /**
   * add-latency CONTROLLER|MACHINE MS S: for S seconds, each message to and from the host takes up to MS milliseconds
   * longer
   */
  'add-latency'(world, [which, delayMs, seconds]) {
    const ms = noteFault(world, seconds);
    for (const host of hostsNamed(world, which)) world.network.addLatency(host, Number(delayMs), ms);
  },
  /**
   * duplicate-heartbeats S: heartbeats sent within S seconds arrive a second time, 1 to 60 s late, at any controller
   */
  'duplicate-heartbeats'(world, [seconds]) {
    world.duplicateHeartbeatsUntil = world.clock.now + noteFault(world, seconds);
    world.invariants.faultsUntil += 60_000;
  },
  /**
   * lose-heartbeats MACHINE S: no heartbeat of the worker reaches a controller, while pushed commands reach the worker
   */
  'lose-heartbeats'(world, [which, seconds]) {
    const ms = noteFault(world, seconds);
    for (const worker of workersNamed(world, which)) worker.heartbeatsLostUntil = world.clock.now + ms;
  },
  /**
   * hold-pushes MACHINE S: commands pushed to the machine within S seconds get no response, and are executed at the end
   * of that time if token and agent epoch still match
   */
  'hold-pushes'(world, [which, seconds]) {
    const ms = noteFault(world, seconds);
    for (const worker of workersNamed(world, which)) worker.pushesHeldUntil = world.clock.now + ms;
  },
  /** duplicate-pushes S: pushed commands that workers execute within S seconds arrive a second time, 1 to 60 s later */
  'duplicate-pushes'(world, [seconds]) {
    world.duplicatePushesUntil = world.clock.now + noteFault(world, seconds);
    world.invariants.faultsUntil += 60_000;
  },
  /**
   * delay-heartbeats MACHINE S: heartbeats sent within S seconds are delayed until then, and reach the controller that
   * leads then
   */
  'delay-heartbeats'(world, [which, seconds]) {
    const ms = noteFault(world, seconds);
    for (const worker of workersNamed(world, which)) worker.heartbeatsDelayedUntil = world.clock.now + ms;
  },
};

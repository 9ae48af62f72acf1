/** Events on machines and on the cloud that provisions them. */
import type { World } from '../../world.js';
import { type EventTable, noteFault, workersNamed } from './targets.js';

/** Lets workers hang: they neither execute nor respond to anything meanwhile. */
export function hangWorkers(world: World, which: string | undefined, seconds: string | undefined): void {
  for (const worker of workersNamed(world, which)) worker.hungUntil = world.clock.now + noteFault(world, seconds);
}

/** Lets the cloud refuse every call for some seconds. */
export function takeCloudDown(world: World, seconds: string | undefined): void {
  world.cloud.isDown = true;
  world.clock.schedule(noteFault(world, seconds), () => {
    world.cloud.isDown = false;
  });
}

/** Events on machines and the cloud. */
export const machineEvents: EventTable = {
  /** hang MACHINE S: for S seconds, the worker neither executes nor responds to anything */
  hang(world, [which, seconds]) {
    hangWorkers(world, which, seconds);
  },
  /** fail-tasks MACHINE: from now on, every task that starts on the machine fails */
  'fail-tasks'(world, [which]) {
    for (const worker of workersNamed(world, which)) worker.failsTasks = true;
  },
  /** slow-machine MACHINE [FACTOR]: from now on, its tasks take FACTOR (default 4) times as long */
  'slow-machine'(world, [which, factor]) {
    for (const worker of workersNamed(world, which)) worker.speed = 1 / Number(factor ?? 4);
  },
  /** interruption-notice MACHINE S: the cloud announces that it will interrupt the machine in S seconds, and does so */
  'interruption-notice'(world, [which, seconds]) {
    for (const worker of workersNamed(world, which)) {
      worker.interruptionAt = world.clock.now + Number(seconds) * 1000;
      world.clock.schedule(Number(seconds) * 1000, () => world.cloud.interrupt(worker.id));
    }
  },
  /** interrupt MACHINE: the cloud removes the machine without notice */
  interrupt(world, [which]) {
    for (const worker of workersNamed(world, which)) world.cloud.interrupt(worker.id);
  },
  /** fail-machine MACHINE: the machine stops, and the cloud lists it as failed */
  'fail-machine'(world, [which]) {
    for (const worker of workersNamed(world, which)) world.cloud.failMachine(worker.id);
  },
  /** cloud-outage S: for S seconds, the cloud refuses every call */
  'cloud-outage'(world, [seconds]) {
    takeCloudDown(world, seconds);
  },
  /** unlist-type TYPE S: for S seconds, the type is missing from the cloud's list of machine types */
  'unlist-type'(world, [type, seconds]) {
    world.cloud.unlistedTypes.add(type ?? '');
    world.clock.schedule(noteFault(world, seconds), () => world.cloud.unlistedTypes.delete(type ?? ''));
  },
  /**
   * boot-fault FACTOR SHARE S [ZONE]: of the machines provisioned within S seconds in ZONE (default all zones), this
   * share never boots, and the others take FACTOR times as long to boot
   */
  'boot-fault'(world, [factor, share, seconds, zone]) {
    const until = world.clock.now + noteFault(world, seconds);
    world.cloud.addBootFault({ factor: Number(factor), neverBootsShare: Number(share), until, zone: zone ?? null });
  },
  /** never-boot N: the next N provisioned machines never boot */
  'never-boot'(world, [count]) {
    world.cloud.neverBootCount = Number(count);
  },
};

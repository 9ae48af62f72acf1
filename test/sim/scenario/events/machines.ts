import type { World } from '../../world.js';
import { type EventTable, noteFault, workersNamed } from './targets.js';

/** Lets workers hang: they neither execute nor answer anything meanwhile. */
export function hangWorkers(world: World, which: string | undefined, seconds: string | undefined): void {
  for (const worker of workersNamed(world, which)) worker.hungUntil = world.clock.now + noteFault(world, seconds);
}

/** What happens to machines and to the cloud that provisions them. */
export const machineEvents: EventTable = {
  /** hang MACHINE S: it neither executes nor answers anything meanwhile */
  hang(world, [which, seconds]) {
    hangWorkers(world, which, seconds);
  },
  /** fail-tasks MACHINE: every task that starts there fails from now on */
  'fail-tasks'(world, [which]) {
    for (const worker of workersNamed(world, which)) worker.failsTasks = true;
  },
  /** slow-machine MACHINE [FACTOR]: its tasks take FACTOR (4) times as long from now on */
  'slow-machine'(world, [which, factor]) {
    for (const worker of workersNamed(world, which)) worker.speed = 1 / Number(factor ?? 4);
  },
  /** interruption-notice MACHINE S: the cloud announces that it takes the machine after S seconds, and does */
  'interruption-notice'(world, [which, seconds]) {
    for (const worker of workersNamed(world, which)) {
      worker.interruptionAt = world.clock.now + Number(seconds) * 1000;
      world.clock.schedule(Number(seconds) * 1000, () => world.cloud.interrupt(worker.id));
    }
  },
  /** interrupt MACHINE: the cloud takes it without notice */
  interrupt(world, [which]) {
    for (const worker of workersNamed(world, which)) world.cloud.interrupt(worker.id);
  },
  /** fail-machine MACHINE: it stops, and the cloud lists it as failed */
  'fail-machine'(world, [which]) {
    for (const worker of workersNamed(world, which)) world.cloud.failMachine(worker.id);
  },
  /** cloud-outage S: the cloud refuses every call */
  'cloud-outage'(world, [seconds]) {
    world.cloud.isDown = true;
    world.clock.schedule(noteFault(world, seconds), () => {
      world.cloud.isDown = false;
    });
  },
  /** boot-fault FACTOR SHARE S [ZONE]: machines provisioned meanwhile boot FACTOR times as long, or, that share, never */
  'boot-fault'(world, [factor, share, seconds, zone]) {
    const until = world.clock.now + noteFault(world, seconds);
    world.cloud.addBootFault({ factor: Number(factor), neverBootsShare: Number(share), until, zone: zone ?? null });
  },
  /** never-boot N: the next N machines that are provisioned never boot */
  'never-boot'(world, [count]) {
    world.cloud.neverBootCount = Number(count);
  },
};

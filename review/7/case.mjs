/** An array waits for a zone whose machines stay busy, beside a machine with free GPUs in another zone. */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Site, TROUBLE } from '../lib-2/site.mjs';
import { sleep } from '../lib-2/wire.mjs';

const ALLOWED_WAIT_MS = 90_000;
const ESTIMATE_S = 60;
/** How long the tasks run for which the owner estimated `ESTIMATE_S`. */
const RUNS_S = TROUBLE ? 118 : ESTIMATE_S;

// Three machines in one zone, one in another, and a cloud without capacity for more.
const site = new Site(path.dirname(fileURLToPath(import.meta.url)), { capacityPerZone: {} });
await site.start();
for (let count = 0; count < 3; count++) await site.cloud.addMachine('kiln-gpu', 'amman-east', false, 0);
const other = await site.cloud.addMachine('kiln-gpu', 'amman-west', false, 0);
if (!(await site.ready())) await site.finish('the controllers did not come up');

const retouch = { flock: 'photo-retouch', cpus: 5, gpus: 1, mem_gb: 27, breeds: ['kiln-gpu'], image_gb: 0.1, cache_s: 30, stash_s: 4 };
const small = site.makeJob(1, { ...retouch, grove: 'amman-west', flight_s: 150, runs_s: 150 });
const large = site.makeJob(2, { ...retouch, grove: 'amman-east', chicks: 12, flight_s: ESTIMATE_S, runs_s: RUNS_S });
for (const job of [small, large]) await site.submit(job);
const allRun = () => site.starts.length === 13;
if (!(await site.until('all tasks of the first jobs run', allRun, 20_000))) await site.finish('the first jobs did not start');

const waiting = site.makeJob(3, { ...retouch, chicks: 21, flight_s: 30, runs_s: 30 });
const answer = await site.submit(waiting);
if (answer.status !== 201) await site.finish('the job was not accepted');
const acceptedAt = performance.now();
const hasStarted = () => site.starts.some(({ chick }) => chick.startsWith(waiting.ref));
const room = () => {
  const live = [...site.workersByRef.get(other.ref).tasks.values()].filter(({ mood }) => mood !== 'exited');
  return { machine: other.ref, zone: other.grove, tasks: live.length, free_gpus: 4 - live.length, free_cpus: 24 - 5 * live.length };
};
while (!hasStarted() && performance.now() - acceptedAt < ALLOWED_WAIT_MS) {
  await sleep(2500);
  site.note('room in the other zone', { ...room(), started: hasStarted() });
}
const waitedSeconds = (performance.now() - acceptedAt) / 1000;
await site.poll(waiting.ref);
if (!hasStarted()) site.breakRule('left_waiting', { job: waiting.ref, waited_s: waitedSeconds, ...room() });
await site.finish();

/** More jobs wait for GPUs than a planning round looks at. A job that needs none waits beside a machine with free cores. */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Site, TROUBLE } from '../lib-2/site.mjs';
import { sleep } from '../lib-2/wire.mjs';

/** Jobs at the start, then the rate of a burst, after the pages that claim.txt quotes. */
const AT_START = TROUBLE ? 175 : 28;
const IN_BURST = TROUBLE ? 101 : 0;
const BURST_PER_SECOND = 8.5;
const ALLOWED_WAIT_MS = 90_000;

// The second deployment of the operators, with one machine, and a cloud without capacity for more.
const site = new Site(path.dirname(fileURLToPath(import.meta.url)), {
  zones: ['cordoba-centro'],
  teams: [
    { name: 'equipo-fotos', cpus: 0, cpus_max: 0, gpus: 40, gpus_max: 144 },
    { name: 'equipo-diseno', cpus: 0, cpus_max: 0, gpus: 32, gpus_max: 80 },
    { name: 'equipo-imprenta', cpus: 0, cpus_max: 0, gpus: 32, gpus_max: 96 },
    { name: 'colegio-sur', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
  ],
  workers: { report_s: 3, lease_s: 22, gang_wait_s: 40, gang_peer_s: 6, cancel_s: 47 },
  state: { rps: 80, write_rps: 30, value_kb: 16, txn_ops: 24 },
  cloud: { rps: 5, list_lag_s: 8 },
  limits: { cpu_share: 0.17, memory_mb: 242, max_connections: 1500 },
  types: [
    { name: 'prensa-gpu', cpus: 48, gpus: 4, mem_gb: 288, local_gb: 150, fetch_gb_per_s: 0.2, rate: 12.18, spot_price: 3.26, startup_s: 25 },
  ],
  capacityPerZone: {},
});
await site.start();
await site.cloud.addMachine('prensa-gpu', 'cordoba-centro', false, 0);
if (!(await site.ready())) await site.finish('the controllers did not come up');

// Two tasks take all GPUs of the machine and 42 of its 48 cores for the rest of the run.
const running = [1, 2].map((number) =>
  site.makeJob(number, {
    flock: 'layout-train', crew: 'equipo-imprenta', shape: 'ensemble', rank: 'urgent', same_place: true,
    cpus: 21, gpus: 2, mem_gb: 120, flight_s: 300, runs_s: 300, image_gb: 0.1, cache_s: 30, stash_s: 2,
  }),
);
for (const job of running) await site.submit(job);
if (!(await site.until('both run', () => site.starts.length === 2, 15_000))) await site.finish('the first jobs did not start');

const waiting = [];
const submitOne = () =>
  waiting.push(
    site.submit(
      site.makeJob(100 + waiting.length, {
        flock: 'portrait-retouch', crew: 'equipo-diseno', rank: 'normal', chicks: 2,
        cpus: 10, gpus: 1, mem_gb: 54, flight_s: 35, runs_s: 35, loaners: true, image_gb: 4,
      }),
    ),
  );
for (let count = 0; count < AT_START; count++) {
  submitOne();
  await sleep(1000 / 36);
}
for (let count = 0; count < IN_BURST; count++) {
  submitOne();
  await sleep(1000 / BURST_PER_SECOND);
}
const stored = () => [...site.state.kv.keys()].filter((key) => key.startsWith('j/')).length - running.length;
const expected = AT_START + IN_BURST;
if (!(await site.until('all are accepted', () => stored() >= expected, 15_000))) await site.finish('jobs were not accepted');
site.note('jobs that wait for GPUs', { accepted: stored() });

const victim = site.makeJob(50, {
  flock: 'padron-array', crew: 'colegio-sur', rank: 'low', chicks: 12, cpus: 0.25, mem_gb: 1.35, flight_s: 60, runs_s: 5, image_gb: 0.1,
});
const answer = await site.submit(victim);
if (answer.status !== 201) await site.finish('the job was not accepted');
const acceptedAt = performance.now();
const hasStarted = () => site.starts.some(({ chick }) => chick.startsWith(victim.ref));
const room = () => {
  const [worker] = site.workersByRef.values();
  const live = [...worker.tasks.values()].filter(({ mood }) => mood !== 'exited');
  return { free_cpus: 48 - live.reduce((sum, { job }) => sum + job.cpus, 0), free_gb: 288 - live.reduce((sum, { job }) => sum + job.mem_gb, 0) };
};
while (!hasStarted() && performance.now() - acceptedAt < ALLOWED_WAIT_MS) {
  await sleep(2500);
  site.note('room on the only machine', { ...room(), victim_started: hasStarted() });
}
const waitedSeconds = (performance.now() - acceptedAt) / 1000;
await site.poll(victim.ref);
if (!hasStarted()) site.breakRule('left_waiting', { job: victim.ref, waited_s: waitedSeconds, ...room() });
await site.finish();

// A measurement, not a case: what a change of leader does with N finished jobs in the state service.
//   node review/measure/history.mjs N     (23904: a day of Souqcraft Amman at the brief's 16.6 jobs a minute)
// One job runs to its end. N copies of the record that the program stored of it are put into the stand-in of the state
// service while no controller runs. The controllers start, and are started again 3 s after each end.
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Deployment } from '../lib/deployment.mjs';
import { sleep } from '../lib/http.mjs';
import { job } from '../lib/users.mjs';

const OBSERVED_MS = 60_000;
const FINISHED = 'job-000001';
const LATER = 'job-000002';
const count = Number(process.argv[2] ?? 23_904);

const deployment = new Deployment(join(tmpdir(), `review-history-${process.pid}.txt`));
process.on('exit', () => {
  for (const child of deployment.processes.values()) child.kill('SIGKILL');
});
await deployment.start(() => 3);
const { state, users, rules, site } = deployment;
await users.submit(job(FINISHED, { chicks: 24, cpus: 1, mem_gb: 3.6, rank: 'low', loaners: true, flight_s: 2, due_s: 64 }));
await deployment.waitFor('the user is told that the job is done', 40, async () => {
  await sleep(500);
  return (await users.ask(FINISHED))?.body.mood === 'done';
});
const [key, stored] = [...state.keys].find(([name]) => name.includes(FINISHED));
await Promise.all(deployment.nodes.map(({ name }) => deployment.killNode(name)));

const text = JSON.stringify(stored.data);
const ref = (i) => `job-${1_000_000 + i}`;
const copyOf = (i) => [key.replace(FINISHED, ref(i)), JSON.parse(text.replaceAll(FINISHED, ref(i)))];
state.restore(Array.from({ length: count }, (_, i) => copyOf(i)));
await sleep(site.restart_s * 1000);
for (const node of deployment.nodes) deployment.startNode(node);

const end = performance.now() + OBSERVED_MS;
await sleep(2000);
const accepted = await users.submit(job(LATER, { flight_s: 10 }));
await sleep(Math.max(0, end - performance.now()));
const completed = rules.completedTasks.has(`${LATER}/0`);
const signals = [...new Set(deployment.ended.map(({ code, signal }) => signal ?? `code ${code}`))].join(', ');
process.stdout.write(
  `${count} finished jobs: ${deployment.ended.length} ends of controllers in ${OBSERVED_MS / 1000} s ${signals}; ` +
    `a job submitted meanwhile: accepted ${accepted}, completed ${completed}\n`,
);
await deployment.stop();
process.exit(0);

// Users behind a load balancer: PROTOCOL-magpielift.md, "Users -> controller nodes".
import { call, sleep } from './http.mjs';

export class Users {
  next = 0;

  constructor({ nodes, jobs, rules, record }) {
    Object.assign(this, { nodes, jobs, rules, record });
  }

  /** Sends a request to the nodes in turn until `accept(answer)` holds. Retries as the page says, for up to 60 s. */
  async until(method, path, message, accept, seconds = 60) {
    const end = performance.now() + seconds * 1000;
    while (performance.now() < end) {
      const node = this.nodes[this.next++ % this.nodes.length];
      const answer = await call(node.port, method, path, message, 5000);
      this.record(`user: ${method} ${path} at ${node.name} -> ${answer ? `${answer.status} ${answer.body.mood ?? ''}` : 'no answer'}`);
      if (answer && accept(answer)) return answer;
      const retryAfter = Number(answer?.headers?.['retry-after'] ?? 0);
      await sleep(Math.max(1, Math.min(30, retryAfter)) * 1000);
    }
    return null;
  }

  async submit(job) {
    this.jobs.set(job.ref, job);
    const answer = await this.until('POST', '/v2/runs', job, ({ status }) => [200, 201, 400, 422].includes(status));
    return answer !== null && answer.status <= 201;
  }

  async withdraw(ref) {
    const answer = await this.until('POST', `/v2/runs/${ref}/withdraw`, undefined, ({ status }) => status === 200);
    if (answer?.body.mood === 'withdrawn') this.rules.onWithdrawn(ref);
    return answer?.body.mood ?? null;
  }

  /** Asks one node once, and waits 2 s for the answer. */
  async ask(ref) {
    const node = this.nodes[this.next++ % this.nodes.length];
    const answer = await call(node.port, 'GET', `/v2/runs/${ref}`, undefined, 2000);
    this.record(`user: GET ${ref} at ${node.name} -> ${answer ? `${answer.status} ${answer.body.mood ?? ''}` : 'no answer'}`);
    return answer;
  }
}

/** A job with the fields of the page, of which a case sets what matters to it. */
export const job = (ref, fields) => ({
  ref,
  flock: 'thumb-sweep',
  crew: 'studio-team',
  shape: 'batch',
  rank: 'normal',
  chicks: 1,
  cpus: 8,
  gpus: 0,
  mem_gb: 4,
  plumage: 'img-01',
  image_gb: 0.1,
  breeds: ['loom-small'],
  grove: null,
  same_place: false,
  apart: false,
  loaners: false,
  flight_s: 60,
  cache_s: 0,
  stash_s: 0,
  due_s: null,
  ...fields,
});

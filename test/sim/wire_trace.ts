import { createHash, type Hash } from 'node:crypto';
import { appendFileSync } from 'node:fs';
import type { Output } from '../../src/core/messages.js';
import { encodeCloudRequest } from '../../src/io/cloud/cloud_codec.js';
import type { HttpRequest } from '../../src/io/http/http_request.js';
import { encodeStateStoreRequest } from '../../src/io/state_store/state_store_codec.js';
import { encodeUserResponse } from '../../src/io/users/user_codec.js';
import { encodeCbor } from '../../src/io/wire/cbor.js';
import { COMMANDS_PATH, encodeHeartbeatResponse, encodePushedCommands } from '../../src/io/workers/worker_codec.js';
import type { Build } from './build.js';

const NO_BODY = Buffer.alloc(0);

/** A message as it leaves a node: to whom, the line that goes before the body, and the body. */
interface Sent {
  readonly to: string;
  readonly line: string;
  readonly body: Uint8Array;
}

function sentCall(to: string, { method, path, body }: HttpRequest): Sent {
  return { to, line: `${method} ${path}`, body: body === undefined ? NO_BODY : encodeCbor(body) };
}

/** Null for what doesn't leave the process. */
function sentOutput(build: Build, output: Output): Sent | null {
  switch (output.kind) {
    case 'userResponse': {
      const retryAfterS = 'retryAfterSeconds' in output.response ? (output.response.retryAfterSeconds ?? 0) : 0;
      const line = `${output.response.status} ${retryAfterS}`;
      return { to: 'user', line, body: encodeCbor(encodeUserResponse(output.response)) };
    }
    case 'heartbeatResponse':
      return {
        to: 'worker',
        line: `${output.response.status}`,
        body: encodeCbor(encodeHeartbeatResponse(output.response)),
      };
    case 'stateStoreCall':
      return sentCall('state', encodeStateStoreRequest(output.operation));
    case 'cloudCall':
      return sentCall('cloud', encodeCloudRequest(output.operation));
    case 'commandPush':
      return sentCall(output.operation.address, {
        method: 'POST',
        path: COMMANDS_PATH,
        body: encodePushedCommands(output.operation),
      });
    case 'peerMessage':
      return { to: output.recipient, line: 'frame', body: build.encodeFrame(build.ownMessage(output.message)) };
    case 'log':
      return null;
  }
}

/**
 * A digest of all that the nodes of a world send out, as bytes on the wire with sender, receiver and simulated time: two
 * builds with the same digest behave alike, whatever their code calls things. On with `SIM_TRACE=FILE`, to which each world
 * adds a line: name, digest, number of messages.
 */
export class WireTrace {
  private readonly hash: Hash = createHash('sha256');
  private count = 0;

  private constructor(private readonly file: string) {}

  /** Null where `SIM_TRACE` names no file. */
  static fromEnvironment(): WireTrace | null {
    const file = process.env.SIM_TRACE;
    return file ? new WireTrace(file) : null;
  }

  /** Adds what a controller sends out. */
  add(atMs: number, from: string, build: Build, output: Output): void {
    const sent = sentOutput(build, output);
    if (sent === null) return;
    this.count += 1;
    this.hash.update(`${atMs} ${from} ${sent.to} ${sent.line} ${sent.body.length}\n`);
    this.hash.update(sent.body);
  }

  /** Writes the line of this world; nothing may be added afterwards. */
  end(name: string): void {
    appendFileSync(this.file, `${name} ${this.hash.digest('hex')} ${this.count}\n`);
  }
}
